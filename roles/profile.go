package roles

import (
	"math"
	"time"
)

// Profile measures the work that a service's requests cause in each role, over the requests
// that this process sent lately. The zero value has no measurements. It is not safe for
// concurrent use; see Profiles.
//
// Engine state follows the load too late to set roles by. When a load begins, or doubles for
// some seconds, the memory in use at decode engines rises only over the length of an answer,
// and whether a prefill engine was busy when it was polled says little, so that roles set by
// these change after the burst is over. The work per request of each role is the same inside
// and outside a burst, and a few requests are enough to measure it.
type Profile struct {
	updatedAt time.Time
	// Sums that decay with profileTimeConstant: the number of requests, their prompt tokens,
	// and their answer tokens, each weighted by the fraction of an engine's memory that the
	// request takes.
	requests, promptTokens, memoryTokens float64
	answers                              tokenTime
	// promptTokenSeconds is the lower quartile of the time for a prompt token, and prefills
	// the number of prompts that it was estimated from. Times above the quartile include
	// waiting at the engine.
	promptTokenSeconds float64
	prefills           int
	engines            engineTimes
}

// tokenTime is a number of answer tokens and the time in seconds in which they were received.
type tokenTime struct{ tokens, seconds float64 }

const (
	// profileTimeConstant is the time constant with which the sums over requests decay. It
	// covers several bursts.
	profileTimeConstant = 30 * time.Second
	// minRequests and minAnswerTokens are the least numbers of requests and of answer tokens
	// for a first ratio of prefill to decode engines: one request, which has hardly decayed,
	// and eight events of an answer.
	minRequests     = 0.9
	minAnswerTokens = 100
	// sufficientRequests is the number of requests from which the ratio may take engines
	// from decode.
	sufficientRequests = 25
	// prefillQuantile is the quantile of the times for a prompt token that is estimated, and
	// prefillMaxStep the fraction of the estimate by which one prompt may move it, so that
	// an engine that turns slow shows after some fifty prompts.
	//
	// A repeated prompt whose KV cache is still on the engine takes a fifth of the time.
	// With the minimum as the estimate, prefill seemed to need a sixth of its engines for
	// half a minute, and 16 of 41 engines left it.
	prefillQuantile = 0.25
	prefillMaxStep  = 0.08
	// smallSampleMargin is the fraction by which a ratio measured from a single request is
	// increased; it falls with the square root of the number of requests.
	smallSampleMargin = 0.5
)

func (m *Profile) decay(now time.Time) {
	if elapsed := now.Sub(m.updatedAt); !m.updatedAt.IsZero() && elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(profileTimeConstant))
		for _, v := range []*float64{
			&m.requests, &m.promptTokens, &m.memoryTokens, &m.answers.tokens, &m.answers.seconds,
		} {
			*v *= factor
		}
	}
	m.updatedAt = now
}

// RecordRequest records a sent request: its prompt and the expected length of its answer, in
// tokens, and the fraction of a decode engine's memory that it takes.
func (m *Profile) RecordRequest(now time.Time, prompt, answer int, memory float64) {
	m.decay(now)
	m.requests++
	m.promptTokens += float64(prompt)
	m.memoryTokens += memory * float64(answer)
}

// RecordPrefill records the prefill time of a prompt, in tokens, that found its engine idle.
func (m *Profile) RecordPrefill(now time.Time, prompt int, took time.Duration) {
	m.decay(now)
	perToken := took.Seconds() / float64(max(prompt, 1))
	m.prefills++
	if m.prefills == 1 {
		m.promptTokenSeconds = perToken
		return
	}
	step := max(prefillMaxStep, 1/float64(m.prefills))
	if perToken < m.promptTokenSeconds {
		m.promptTokenSeconds = max(perToken, m.promptTokenSeconds*(1-step*(1-prefillQuantile)))
		return
	}
	m.promptTokenSeconds = min(perToken, m.promptTokenSeconds*(1+step*prefillQuantile))
}

// PromptTokenTime returns the prefill time of one prompt token at an idle engine; zero if no
// prompt has been recorded.
func (m *Profile) PromptTokenTime() time.Duration {
	return time.Duration(m.promptTokenSeconds * float64(time.Second))
}

// RecordAnswer records a number of answer tokens and the time in which they were received.
func (m *Profile) RecordAnswer(now time.Time, answer int, took time.Duration) {
	m.decay(now)
	m.answers.tokens += float64(answer)
	m.answers.seconds += took.Seconds()
}

// Sample returns the measurements in a form that can be added to those of other processes.
func (m *Profile) Sample(now time.Time) Sample {
	m.decay(now)
	return Sample{
		Requests: m.requests, PromptTokens: m.promptTokens, MemoryTokens: m.memoryTokens, AnswerTokens: m.answers.tokens, AnswerSeconds: m.answers.seconds,
		PromptTokenSeconds: m.promptTokenSeconds, PrefillCount: float64(min(m.prefills, maxPrefillWeight)),
	}
}

// Ratio returns an upper estimate of how many prefill engines are kept busy for each busy decode
// engine, by this process's own requests; false if there are too few. See Sample.Ratio.
func (m *Profile) Ratio() (float64, bool) { return m.Sample(m.updatedAt).Ratio() }

// Sufficient reports whether this process's own requests are enough to take engines from decode by
// the ratio. See Sample.Sufficient.
func (m *Profile) Sufficient() bool { return m.Sample(m.updatedAt).Sufficient() }

// maxPrefillWeight bounds the number of prompts by which a process's prefill time is weighted
// in a sum of samples. The estimate follows the latest prompts, so that more of them do not
// make it more reliable.
const maxPrefillWeight = 50

// Sample is what one or more processes measured of the requests that they sent.
//
// The samples of all processes are added up because the process that sets the roles sends
// only a few of the requests. In a fleet of 68 processes, by its own requests alone, it had a
// ratio after 11 seconds and a sufficient sample after 16, when two bursts were over. The
// samples of all processes have hundreds of requests in the first second.
type Sample struct {
	// Requests is the number of requests sent, PromptTokens the sum of their prompt tokens, and
	// MemoryTokens the sum of their answer tokens, each weighted by the fraction of an
	// engine's memory that the request takes. All are sums that decay with age.
	Requests     float64 `json:"requests"`
	PromptTokens float64 `json:"prompts"`
	MemoryTokens float64 `json:"held"`
	// AnswerTokens is the number of answer tokens received, and AnswerSeconds the time in which
	// they were received; both are summed over the answers and decay with age.
	AnswerTokens  float64 `json:"answer_tokens"`
	AnswerSeconds float64 `json:"answer_seconds"`
	// PromptTokenSeconds is the prefill time of a prompt token in seconds, and PrefillCount the
	// number of prompts by which it is weighted.
	PromptTokenSeconds float64 `json:"prefill"`
	PrefillCount       float64 `json:"prefills"`
}

// valid reports whether the figures can be those of a process. A sample with impossible
// figures, from a faulty process or a stepped clock, would move all engines of a pool to the
// other role; it is ignored.
func (s Sample) valid() bool {
	for _, v := range []float64{s.Requests, s.PromptTokens, s.MemoryTokens, s.AnswerTokens, s.AnswerSeconds, s.PromptTokenSeconds, s.PrefillCount} {
		if !(v >= 0) || v > maxSampleValue { // also true for NaN
			return false
		}
	}
	return s.PrefillCount <= maxPrefillWeight
}

// maxSampleValue is above any sum that a process reaches within profileTimeConstant.
const maxSampleValue = 1e12

// Add returns the sum of both samples; it ignores o if its figures are impossible.
func (s Sample) Add(o Sample) Sample {
	if !o.valid() {
		return s
	}
	sum := Sample{
		Requests: s.Requests + o.Requests, PromptTokens: s.PromptTokens + o.PromptTokens, MemoryTokens: s.MemoryTokens + o.MemoryTokens,
		AnswerTokens: s.AnswerTokens + o.AnswerTokens, AnswerSeconds: s.AnswerSeconds + o.AnswerSeconds,
		PrefillCount: s.PrefillCount + o.PrefillCount,
	}
	if sum.PrefillCount > 0 {
		sum.PromptTokenSeconds = (s.PromptTokenSeconds*s.PrefillCount + o.PromptTokenSeconds*o.PrefillCount) / sum.PrefillCount
	}
	return sum
}

// Ratio returns an upper estimate of how many prefill engines are kept busy for each busy
// decode engine; false if there are too few measurements. The fewer the requests, the more is
// added for what they may not have shown: with one prefill engine too many an engine idles,
// with one too few prompts have to run on decode engines.
func (s Sample) Ratio() (float64, bool) {
	decodeSeconds := s.MemoryTokens * s.AnswerSeconds / max(s.AnswerTokens, 1)
	if s.Requests < minRequests || s.AnswerTokens < minAnswerTokens || s.PromptTokenSeconds == 0 || decodeSeconds <= 0 {
		return 0, false
	}
	return s.PromptTokens * s.PromptTokenSeconds / decodeSeconds * (1 + smallSampleMargin/math.Sqrt(s.Requests)), true
}

// Sufficient reports whether there are enough requests to take engines from decode by the
// ratio. If the first request has a very short answer, by it alone prefill seems to need half of
// all engines: a third of the decode engines would leave in the first seconds and be out of
// service for ten.
func (s Sample) Sufficient() bool { return s.Requests >= sufficientRequests }
