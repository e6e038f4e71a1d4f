package route

import (
	"time"
)

// weighPrefill works out the figures of a prefill candidate, and why it cannot
// take the job.
func (m *EngineSelector) weighPrefill(now time.Time, j Job, c *member[PrefillReport]) (PrefillCandidate, ExclusionReason) {
	rate := c.report.Rate
	if rate <= 0 {
		rate = defaultRate
	}
	g := PrefillCandidate{Host: c.host, Zone: c.zone, Weight: j.Weights.of(c.zone)}
	filled := rate * now.Sub(c.at).Seconds()
	queued := max(0, float64(c.report.QueuedTokens+c.total.tokens)-filled)
	g.Queue = seconds(queued / rate)
	g.Cached = m.cached(now, c.host, j)
	left := j.PromptTokens - g.Cached
	g.Prefill = seconds(float64(left) / rate)
	switch {
	case g.Weight == 0:
		return g, ExcludedZone
	case c.shortOnly && left >= longPrompt:
		return g, ExcludedLong
	case j.MaxQueueWait > 0 && g.Queue > j.MaxQueueWait:
		return g, ExcludedQueue
	}
	return g, ""
}

// weighDecode works out the figures of a decode candidate, and why it cannot
// take the job.
func weighDecode(j Job, c *member[DecodeReport]) (DecodeCandidate, ExclusionReason) {
	g := DecodeCandidate{
		Host:         c.host,
		Zone:         c.zone,
		FreeRequests: c.report.FreeRequests - c.total.requests,
		FreeTokens:   c.report.FreeTokens - c.total.tokens,
		Weight:       j.Weights.of(c.zone),
	}
	batch := max(0, c.report.Batch+c.total.requests) + 1
	g.TokenGap = c.report.GapBase + time.Duration(batch)*c.report.GapStep
	switch {
	case g.Weight == 0:
		return g, ExcludedZone
	case g.FreeRequests < 1:
		return g, ExcludedSlots
	case g.FreeTokens < j.PromptTokens+j.MaxOutputTokens:
		return g, ExcludedMemory
	case j.TokenGap > 0 && g.TokenGap > j.TokenGap:
		return g, ExcludedTokenGap
	}
	return g, ""
}

// estimate works out what a pair would give, or why it cannot take the job.
func (m *EngineSelector) estimate(now time.Time, j Job, p *PrefillCandidate, d *DecodeCandidate) (Estimate, ExclusionReason) {
	filled := p.Queue + p.Prefill
	wait, takes := m.links.wait(now, ZonePair{From: p.Zone, To: d.Zone}, filled, j.KVBytes)
	e := Estimate{Cached: p.Cached, KVWait: wait + takes, TokenGap: d.TokenGap}
	e.FirstToken = filled + e.KVWait + d.TokenGap
	risk := 0.0
	if j.KVLifetime > 0 {
		if e.KVWait > kvLimit(j) {
			return e, ExcludedKVExpires
		}
		risk = e.KVWait.Seconds() / j.KVLifetime.Seconds() * float64(j.WastedPrefillWeight) / 100
	}
	e.Score = (j.score(e) + risk) / min(p.Weight, d.Weight)
	return e, ""
}

// kvLimit is the longest that a KV cache may be expected to wait: its life,
// less a margin for the lag of the link's report that grows with the weight of
// wasted prefill: half of its life at 100 percent.
func kvLimit(j Job) time.Duration {
	return time.Duration(float64(j.KVLifetime) / (1 + float64(max(j.WastedPrefillWeight, 0))/100))
}

// score adds time to first token and time between tokens, each as a part of its
// target, so that neither is bought with more of the other than it is worth.
func (j Job) score(e Estimate) float64 {
	first, gap := j.FirstTokenTarget, j.TokenGap
	if first <= 0 {
		first = defaultFirstToken
	}
	if gap <= 0 {
		gap = defaultTokenGap
	}
	return e.FirstToken.Seconds()/first.Seconds() + e.TokenGap.Seconds()/gap.Seconds()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
