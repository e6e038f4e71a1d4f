package main

import (
	"math"
	"slices"
	"time"

	"jacinthworks/queue"
)

// tally adds up what callers received, over all seeds of one cell.
type tally struct {
	seeds int
	// offered counts first sends, sends all of them, good the sends that met
	// both targets; all by time of sending within the window.
	offered, sends, refused, good int
	goodCost                      int
	othersGood, othersOffered     int
	firsts, gaps                  []time.Duration
	// callers and kinds hold first sends and all good sends of each, extra
	// callers aside.
	callers, kinds map[string]*share
	// seconds holds the first sends and all good sends of each second.
	seconds              [stop / time.Second]share
	filledTokens, wasted int
	// allGood counts good sends in and out of the window, as filledTokens does.
	allGood int
}

// share is a part that went well.
type share struct{ offered, good int }

func (s share) part() float64 {
	if s.offered == 0 {
		return 1
	}
	return float64(s.good) / float64(s.offered)
}

func newTally() *tally {
	return &tally{callers: make(map[string]*share), kinds: make(map[string]*share)}
}

// add takes in the outcome of a send.
func (t *tally) add(r *request) {
	good := 0
	if r.good() {
		good = 1
	}
	t.allGood += good
	passed := r.sent.Sub(epoch)
	if passed >= stop {
		return
	}
	second := &t.seconds[passed/time.Second]
	second.good += good
	if r.send == 1 {
		second.offered++
	}
	if passed < warm {
		return
	}
	t.count(r, good)
}

func (t *tally) count(r *request, good int) {
	t.sends++
	t.good += good
	t.goodCost += good * queue.Item{PromptTokens: r.prompt, MaxOutputTokens: r.output}.Cost()
	if r.outcome == refused {
		t.refused++
	}
	if r.send == 1 {
		t.offered++
	}
	if r.outcome == answered {
		t.gaps = append(t.gaps, r.gap())
		if !r.kind.row.MayWait {
			t.firsts = append(t.firsts, r.first.Sub(r.sent))
		}
	}
	if r.caller.extra {
		return
	}
	t.othersGood += good
	if r.send == 1 {
		t.othersOffered++
	}
	record(t.callers, string(r.caller.account), r.send, good)
	record(t.kinds, string(r.kind.row.Kind), r.send, good)
}

func record(all map[string]*share, name string, send, good int) {
	s, ok := all[name]
	if !ok {
		s = &share{}
		all[name] = s
	}
	s.good += good
	if send == 1 {
		s.offered++
	}
}

// window is the judged time of all seeds, in seconds.
func (t *tally) window() float64 { return (stop - warm).Seconds() * float64(t.seeds) }

func (t *tally) goodput() float64 { return float64(t.good) / t.window() }

// costPerSecond is goodput weighed by cost, in thousands of prompt tokens a second:
// it does not grow when short requests take the place of long ones.
func (t *tally) costPerSecond() float64 { return float64(t.goodCost) / 1000 / t.window() }

func (t *tally) othersGoodput() float64 { return float64(t.othersGood) / t.window() }

func (t *tally) wastedPart() float64 {
	return float64(t.wasted) / math.Max(1, float64(t.filledTokens))
}

func (t *tally) refusedPart() float64 {
	return float64(t.refused) / math.Max(1, float64(t.sends))
}

// worst is the smallest part of its work that a caller or a kind had answered in
// time.
func worst(all map[string]*share) float64 {
	least := 1.0
	for _, s := range all {
		least = min(least, s.part())
	}
	return least
}

// recoveryWindow is in seconds: about 180 first sends over six seeds, whose
// chance is then well within 5%.
const recoveryWindow = 5

// recovery is the time from the given second until goodput stays at 95% of that
// in the reference seconds, over a sliding window of five seconds. Goodput is
// taken for each first send, which keeps the chance of arrivals out of it.
func (t *tally) recovery(from, refFrom, refTo int) float64 {
	goal := 0.95 * t.sum(refFrom, refTo).part()
	recovered := from
	for second := from; second+recoveryWindow <= len(t.seconds); second++ {
		if t.sum(second, second+recoveryWindow).part() < goal {
			recovered = second + 1
		}
	}
	return float64(recovered - from)
}

func (t *tally) sum(from, to int) (s share) {
	for _, x := range t.seconds[from:to] {
		s.offered += x.offered
		s.good += x.good
	}
	return s
}

// p95 gives the 95th percentile in milliseconds.
func p95(list []time.Duration) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return float64(list[len(list)*95/100]) / float64(time.Millisecond)
}

// othersPart is the part of their work that callers had answered in time, those
// aside whom the scenario adds.
func (t *tally) othersPart() float64 {
	return share{offered: t.othersOffered, good: t.othersGood}.part()
}
