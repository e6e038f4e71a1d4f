package roles

import (
	"math"
	"time"
)

// Profile measures what a request takes of the engines of each role, of the requests
// that this process has lately sent. The zero value knows nothing.
//
// Load pattern: a load that begins, or doubles for some seconds. The memory that is
// taken at decode engines follows the arrivals after the length of an answer, and
// whether a prefill engine was busy when it was asked says little. Judged by
// these, roles follow a burst when it is over. What a request takes of each role
// is the same in and out of a burst, and is known from a few of them.
type Profile struct {
	at time.Time
	// What was seen; all fades alike. requests counts those sent, prompts is their
	// prompt tokens, held the answers' tokens by the part of an engine's memory
	// that each takes.
	requests, prompts, held float64
	answers                 pace
	// prefill is the time for a token of a prompt, in seconds, that one in four
	// prompts stayed under, of so many that were seen: more than that is waiting.
	prefill float64
	seen    int
}

// pace is the time that tokens took.
type pace struct{ tokens, seconds float64 }

const (
	// mixMemory is the time constant over which requests count: several bursts.
	mixMemory = 30 * time.Second
	// mixRequests and mixTokens are what must have been seen for a first ratio:
	// one request, which has hardly faded, and eight events of an answer.
	mixRequests = 0.9
	mixTokens   = 100
	// mixSure is the requests from which the ratio may take engines from decode.
	mixSure = 25
	// prefillLow is the quantile of the times for a token of a prompt that counts,
	// and prefillStep the part of it by which one prompt may move it: an engine that
	// turns slow shows in some fifty.
	//
	// Failure: a prompt is read again where its memory is kept, in a fifth of the
	// time. With the least of all for the measure, prefill seemed to need a sixth of
	// its engines for half a minute, and sixteen of 41 left it.
	prefillLow  = 0.25
	prefillStep = 0.08
	// unseen is the part that is added to the ratio for one request; it falls
	// with the root of their number.
	unseen = 0.5
)

func (m *Profile) fade(now time.Time) {
	if passed := now.Sub(m.at); !m.at.IsZero() && passed > 0 {
		keep := math.Exp(-float64(passed) / float64(mixMemory))
		for _, v := range []*float64{
			&m.requests, &m.prompts, &m.held, &m.answers.tokens, &m.answers.seconds,
		} {
			*v *= keep
		}
	}
	m.at = now
}

// RecordRequest notes a request: its prompt and the likely length of its answer, in tokens,
// and the part of a decode engine's memory that it takes.
func (m *Profile) RecordRequest(now time.Time, prompt, answer int, memory float64) {
	m.fade(now)
	m.requests++
	m.prompts += float64(prompt)
	m.held += memory * float64(answer)
}

// RecordPrefill notes a prompt that found its engine idle and took so long.
func (m *Profile) RecordPrefill(now time.Time, prompt int, took time.Duration) {
	m.fade(now)
	each := took.Seconds() / float64(max(prompt, 1))
	m.seen++
	if m.seen == 1 {
		m.prefill = each
		return
	}
	step := max(prefillStep, 1/float64(m.seen))
	if each < m.prefill {
		m.prefill = max(each, m.prefill*(1-step*(1-prefillLow)))
		return
	}
	m.prefill = min(each, m.prefill*(1+step*prefillLow))
}

// PromptTokenTime is the time for a token of a prompt that found its engine idle; zero
// while none was seen.
func (m *Profile) PromptTokenTime() time.Duration {
	return time.Duration(m.prefill * float64(time.Second))
}

// RecordAnswer notes tokens of an answer that took so long.
func (m *Profile) RecordAnswer(now time.Time, answer int, took time.Duration) {
	m.fade(now)
	m.answers.tokens += float64(answer)
	m.answers.seconds += took.Seconds()
}

// Sample gives what was seen, to be added to what others saw.
func (m *Profile) Sample(now time.Time) Sample {
	m.fade(now)
	return Sample{
		Requests: m.requests, Prompts: m.prompts, MemoryTokens: m.held, AnswerTokens: m.answers.tokens, AnswerSeconds: m.answers.seconds,
		Prefill: m.prefill, Prefills: float64(min(m.seen, prefillWeight)),
	}
}

// Ratio gives that of the process's own requests.
func (m *Profile) Ratio() (float64, bool) { return m.Sample(m.at).Ratio() }

// Sufficient is Sample.Sufficient of the process's own requests.
func (m *Profile) Sufficient() bool { return m.Sample(m.at).Sufficient() }

// prefillWeight is the most prompts for which a process's measure of the time for a
// prompt counts, which follows the latest of them.
const prefillWeight = 50

// Sample is what processes saw of the requests that they sent.
//
// Load pattern: a fleet of 68 processes, of which one sets the roles and sends one
// request in 68. By its own it knew the ratio after eleven seconds and was sure of
// it after sixteen, when two bursts were over. The samples of all add up to
// hundreds of requests in the first second.
type Sample struct {
	// Requests counts those sent, Prompts their prompt tokens, Held the answers'
	// tokens by the part of an engine's memory that each takes.
	Requests     float64 `json:"requests"`
	Prompts      float64 `json:"prompts"`
	MemoryTokens float64 `json:"held"`
	// AnswerTokens came in AnswerSeconds, summed over the answers.
	AnswerTokens  float64 `json:"answer_tokens"`
	AnswerSeconds float64 `json:"answer_seconds"`
	// Prefill is the time for a token of a prompt in seconds, as Prefills prompts
	// tell.
	Prefill  float64 `json:"prefill"`
	Prefills float64 `json:"prefills"`
}

// sound says whether the figures can be those of a process.
//
// Failure: another process sends nonsense, or its clock went wrong. It shows as
// engines that all leave a role. Nonsense counts for nothing.
func (s Sample) sound() bool {
	for _, v := range []float64{s.Requests, s.Prompts, s.MemoryTokens, s.AnswerTokens, s.AnswerSeconds, s.Prefill, s.Prefills} {
		if !(v >= 0) || v > sampleMost { // not a number is neither
			return false
		}
	}
	return s.Prefills <= prefillWeight
}

// sampleMost is more than any sum of a process comes to in mixMemory.
const sampleMost = 1e12

// Add gives the sample of both.
func (s Sample) Add(o Sample) Sample {
	if !o.sound() {
		return s
	}
	sum := Sample{
		Requests: s.Requests + o.Requests, Prompts: s.Prompts + o.Prompts, MemoryTokens: s.MemoryTokens + o.MemoryTokens,
		AnswerTokens: s.AnswerTokens + o.AnswerTokens, AnswerSeconds: s.AnswerSeconds + o.AnswerSeconds,
		Prefills: s.Prefills + o.Prefills,
	}
	if sum.Prefills > 0 {
		sum.Prefill = (s.Prefill*s.Prefills + o.Prefill*o.Prefills) / sum.Prefills
	}
	return sum
}

// Ratio gives how many prefill engines are kept busy for each decode engine that
// is, at the most; false while too little is known. The fewer requests were seen,
// the more is added for what they may not have shown: a prefill engine too many
// idles, one too few leaves prompts to decode engines.
func (s Sample) Ratio() (float64, bool) {
	decode := s.MemoryTokens * s.AnswerSeconds / max(s.AnswerTokens, 1)
	if s.Requests < mixRequests || s.AnswerTokens < mixTokens || s.Prefill == 0 || decode <= 0 {
		return 0, false
	}
	return s.Prompts * s.Prefill / decode * (1 + unseen/math.Sqrt(s.Requests)), true
}

// Sufficient says whether enough was seen to take engines from decode by the ratio.
//
// Failure: the first request has the shortest of answers, and by it alone prefill
// needs half of all engines. It shows as a third of the decode engines that leave in
// the first seconds, and are away for ten.
func (s Sample) Sufficient() bool { return s.Requests >= mixSure }
