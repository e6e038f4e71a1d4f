package place

import (
	"math"
	"time"
)

// Mix measures what a request takes of the engines of each role, of the requests
// that this process has lately sent. The zero value knows nothing.
//
// Load pattern: a load that begins, or doubles for some seconds. The memory that is
// taken at decode engines follows the arrivals after the length of an answer, and
// whether a prefill engine was busy when it was asked says little. Judged by
// these, roles follow a burst when it is over. What a request takes of each role
// is the same in and out of a burst, and is known from a few of them. Together with
// the even pools it brought 0.02 of worth, with nine engines and with 38 (40 and 10
// plays of days with faults, on fixed seeds).
type Mix struct {
	at time.Time
	// What was seen; all fades alike. requests counts those sent, prompts is their
	// prompt tokens, held the answers' tokens by the part of an engine's memory
	// that each takes.
	requests, prompts, held float64
	answers                 pace
	// prefill is the time for a token of a prompt, in seconds: the least seen
	// lately, since all beyond is waiting.
	prefill float64
}

// pace is the time that tokens took.
type pace struct{ tokens, seconds float64 }

func (p pace) each() float64 { return p.seconds / max(p.tokens, 1) }

const (
	// mixMemory is the time constant over which requests count: several bursts.
	mixMemory = 30 * time.Second
	// mixRequests and mixTokens are what must have been seen for a first ratio:
	// one request, which has hardly faded, and eight events of an answer.
	mixRequests = 0.9
	mixTokens   = 100
	// mixSure is the requests from which the ratio may take engines from decode.
	mixSure = 25
	// prefillRise is the part by which the least time for a token of a prompt
	// goes towards a longer one: an engine that turns slow shows in some fifty.
	prefillRise = 0.02
	// unseen is the part that is added to the ratio for one request; it falls
	// with the root of their number.
	unseen = 0.5
)

func (m *Mix) fade(now time.Time) {
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

// Sent notes a request: its prompt and the likely length of its answer, in tokens,
// and the part of a decode engine's memory that it takes.
func (m *Mix) Sent(now time.Time, prompt, answer int, memory float64) {
	m.fade(now)
	m.requests++
	m.prompts += float64(prompt)
	m.held += memory * float64(answer)
}

// Prefilled notes a prompt that found its engine idle and took so long.
func (m *Mix) Prefilled(now time.Time, prompt int, took time.Duration) {
	m.fade(now)
	each := took.Seconds() / float64(max(prompt, 1))
	if m.prefill == 0 || each < m.prefill {
		m.prefill = each
		return
	}
	m.prefill += prefillRise * (each - m.prefill)
}

// Answered notes tokens of an answer that took so long.
func (m *Mix) Answered(now time.Time, answer int, took time.Duration) {
	m.fade(now)
	m.answers.tokens += float64(answer)
	m.answers.seconds += took.Seconds()
}

// Ratio gives how many prefill engines are kept busy for each decode engine that
// is, at the most; false while too little is known. The fewer requests were seen,
// the more is added for what they may not have shown: a prefill engine too many
// idles, one too few leaves prompts to decode engines.
func (m *Mix) Ratio() (float64, bool) {
	decode := m.held * m.answers.each()
	if m.requests < mixRequests || m.answers.tokens < mixTokens || m.prefill == 0 || decode <= 0 {
		return 0, false
	}
	return m.prompts * m.prefill / decode * (1 + unseen/math.Sqrt(m.requests)), true
}

// Sure says whether enough was seen to take engines from decode by the ratio.
//
// Failure: the first request has the shortest of answers, and by it alone prefill
// needs half of all engines. It shows as a third of the decode engines that leave in
// the first seconds, and are away for ten.
func (m *Mix) Sure() bool { return m.requests >= mixSure }
