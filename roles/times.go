package roles

import (
	"math"
	"slices"
	"time"

	"jacinthworks/domain"
)

// engineTimes holds the times that a process lately measured at each engine. The zero value
// holds none.
//
// They are divided by the engines' relative times when they are read, not when they are
// recorded: the median engine of a pool becomes another one when engines change role, and
// averages of divided times would follow only after half a minute.
type engineTimes struct {
	updatedAt time.Time
	// prompts is a ring of the last times for a prompt token, and next the place of the next.
	prompts []promptTime
	next    int
	answers map[domain.Host]tokenTime // decays with profileTimeConstant
}

// promptTime is the time in seconds for each token of one prompt.
type promptTime struct {
	engine  domain.Host
	seconds float64
}

// RelativeTimes holds, for each engine in its role, its time for a unit of work relative to the
// median engine of that role; 1 if it is not known.
type RelativeTimes map[domain.Role]map[domain.Host]float64

const (
	// maxPromptTimes bounds the prompts whose times are kept.
	maxPromptTimes = 64
	// minAnswerTime is the decayed time of answers, in seconds, below which an engine is
	// forgotten.
	minAnswerTime = 0.01
)

// RecordPrefillAt records the prefill time of a prompt as RecordPrefill does, and the engine.
func (m *Profile) RecordPrefillAt(now time.Time, engine domain.Host, prompt int, took time.Duration) {
	m.RecordPrefill(now, prompt, took)
	t := &m.engines
	p := promptTime{engine, took.Seconds() / float64(max(prompt, 1))}
	if len(t.prompts) < maxPromptTimes {
		t.prompts = append(t.prompts, p)
		return
	}
	t.prompts[t.next] = p
	t.next = (t.next + 1) % maxPromptTimes
}

// RecordAnswerAt records answer tokens as RecordAnswer does, and the engine.
func (m *Profile) RecordAnswerAt(now time.Time, engine domain.Host, answer int, took time.Duration) {
	m.RecordAnswer(now, answer, took)
	m.engines.decay(now)
	if m.engines.answers == nil {
		m.engines.answers = make(map[domain.Host]tokenTime)
	}
	a := m.engines.answers[engine]
	m.engines.answers[engine] = tokenTime{a.tokens + float64(answer), a.seconds + took.Seconds()}
}

func (t *engineTimes) decay(now time.Time) {
	if elapsed := now.Sub(t.updatedAt); !t.updatedAt.IsZero() && elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(profileTimeConstant))
		for h, a := range t.answers {
			t.answers[h] = tokenTime{a.tokens * factor, a.seconds * factor}
			if a.seconds*factor < minAnswerTime {
				delete(t.answers, h)
			}
		}
	}
	t.updatedAt = now
}

// SampleBySpeed returns the measurements like Sample, with the times of the median engine of
// each role instead of those of whichever engines served the requests. Times at engines that
// no longer have the role are left out, unless there are no others.
func (m *Profile) SampleBySpeed(now time.Time, relative RelativeTimes) Sample {
	s := m.Sample(now)
	m.engines.decay(now)
	var prompts []float64
	for _, p := range m.engines.prompts {
		if factor := relative[domain.RolePrefill][p.engine]; factor > 0 {
			prompts = append(prompts, p.seconds/factor)
		}
	}
	if len(prompts) > 0 {
		slices.Sort(prompts)
		s.PromptTokenSeconds = prompts[int(prefillQuantile*float64(len(prompts)))]
		s.PrefillCount = float64(min(len(prompts), maxPrefillWeight))
	}
	var answers tokenTime
	for h, a := range m.engines.answers {
		if factor := relative[domain.RoleDecode][h]; factor > 0 {
			answers.tokens += a.tokens
			answers.seconds += a.seconds / factor
		}
	}
	if answers.tokens > 0 {
		s.AnswerTokens, s.AnswerSeconds = answers.tokens, answers.seconds
	}
	return s
}
