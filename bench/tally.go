package main

import (
	"math"
	"slices"
	"time"

	"jacinthworks/queue"
)

// tally accumulates the outcomes of requests over all seeds of one cell.
type tally struct {
	seeds int
	// offered counts first sends, sends all sends, and good the sends that met both
	// targets. They include only requests sent between warmUp and loadEnd.
	offered, sends, refused, good  int
	costOfGood                     int
	othersGood, othersOffered      int
	firstTokenLatencies, tokenGaps []time.Duration
	// perCaller and perKind count the first sends and the good sends of each caller
	// and kind, without the callers that the scenario adds.
	perCaller, perKind map[string]*goodShare
	// perSecond counts the first sends and the good sends of each second.
	perSecond                  [loadEnd / time.Second]goodShare
	filledTokens, wastedTokens int
	// allGood counts good sends over the whole run, as filledTokens does.
	allGood int
}

// goodShare counts first sends as offered, and sends that met both latency targets as
// good.
type goodShare struct{ offered, good int }

// fraction returns good divided by offered, and 1 if nothing was offered.
func (s goodShare) fraction() float64 {
	if s.offered == 0 {
		return 1
	}
	return float64(s.good) / float64(s.offered)
}

func newTally() *tally {
	return &tally{perCaller: make(map[string]*goodShare), perKind: make(map[string]*goodShare)}
}

// add records the outcome of a send.
func (t *tally) add(r *request) {
	good := 0
	if r.meetsTargets() {
		good = 1
	}
	t.allGood += good
	elapsed := r.sentAt.Sub(epoch)
	if elapsed >= loadEnd {
		return
	}
	second := &t.perSecond[elapsed/time.Second]
	second.good += good
	if r.sendNumber == 1 {
		second.offered++
	}
	if elapsed < warmUp {
		return
	}
	t.addInWindow(r, good)
}

// addInWindow records a send within the window that the metrics cover; good is 1 if
// the send met its targets.
func (t *tally) addInWindow(r *request, good int) {
	t.sends++
	t.good += good
	t.costOfGood += good * queue.Item{PromptTokens: r.prompt, MaxOutputTokens: r.output}.Cost()
	if r.outcome == outcomeRefused {
		t.refused++
	}
	if r.sendNumber == 1 {
		t.offered++
	}
	if r.outcome == outcomeAnswered {
		t.tokenGaps = append(t.tokenGaps, r.meanTokenGap())
		if !r.kind.row.MayWait {
			t.firstTokenLatencies = append(t.firstTokenLatencies, r.firstTokenAt.Sub(r.sentAt))
		}
	}
	if r.caller.addedByScenario {
		return
	}
	t.othersGood += good
	if r.sendNumber == 1 {
		t.othersOffered++
	}
	recordSend(t.perCaller, string(r.caller.account), r.sendNumber, good)
	recordSend(t.perKind, string(r.kind.row.Kind), r.sendNumber, good)
}

// recordSend counts a send in shares[name]: every first send as offered, and good as
// the number of good sends, 0 or 1.
func recordSend(shares map[string]*goodShare, name string, sendNumber, good int) {
	s, ok := shares[name]
	if !ok {
		s = &goodShare{}
		shares[name] = s
	}
	s.good += good
	if sendNumber == 1 {
		s.offered++
	}
}

// windowSeconds returns the duration that the metrics cover, summed over all seeds.
func (t *tally) windowSeconds() float64 { return (loadEnd - warmUp).Seconds() * float64(t.seeds) }

func (t *tally) goodput() float64 { return float64(t.good) / t.windowSeconds() }

// costPerSecond returns goodput weighted by cost, in thousands of prompt tokens per
// second. Unlike goodput it does not grow when short requests displace long ones.
func (t *tally) costPerSecond() float64 { return float64(t.costOfGood) / 1000 / t.windowSeconds() }

func (t *tally) othersGoodput() float64 { return float64(t.othersGood) / t.windowSeconds() }

func (t *tally) wastedFraction() float64 {
	return float64(t.wastedTokens) / math.Max(1, float64(t.filledTokens))
}

func (t *tally) refusedFraction() float64 {
	return float64(t.refused) / math.Max(1, float64(t.sends))
}

// minFraction returns the smallest fraction of offered requests that were answered
// within the targets, over the callers or kinds in shares; 1 if there are none.
func minFraction(shares map[string]*goodShare) float64 {
	minimum := 1.0
	for _, s := range shares {
		minimum = min(minimum, s.fraction())
	}
	return minimum
}

// recoveryWindow is the length, in seconds, of the window over which recoverySeconds
// measures goodput. It contains about 180 first sends over six seeds,
// which keeps random variation well below 5%.
const recoveryWindow = 5

// recoverySeconds returns the seconds after from until goodput stays at 95% of its
// level in the reference seconds, over a sliding window of recoveryWindow. Goodput is
// measured per first send, so that random variation in the number of arrivals has no effect.
func (t *tally) recoverySeconds(from, refFrom, refTo int) float64 {
	threshold := 0.95 * t.sumSeconds(refFrom, refTo).fraction()
	recovered := from
	for second := from; second+recoveryWindow <= len(t.perSecond); second++ {
		if t.sumSeconds(second, second+recoveryWindow).fraction() < threshold {
			recovered = second + 1
		}
	}
	return float64(recovered - from)
}

// sumSeconds adds up the first sends and the good sends of the seconds from (inclusive)
// to (exclusive) of the run.
func (t *tally) sumSeconds(from, to int) (s goodShare) {
	for _, x := range t.perSecond[from:to] {
		s.offered += x.offered
		s.good += x.good
	}
	return s
}

// p95Milliseconds returns the 95th percentile in milliseconds, zero for an empty
// list. It sorts the list.
func p95Milliseconds(durations []time.Duration) float64 {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return float64(durations[len(durations)*95/100]) / float64(time.Millisecond)
}

// othersGoodFraction returns the fraction of offered requests that were answered within
// the targets, without the callers that the scenario adds.
func (t *tally) othersGoodFraction() float64 {
	return goodShare{offered: t.othersOffered, good: t.othersGood}.fraction()
}
