package route

import (
	"time"
)

// evaluatePrefill computes the expected wait and prefill time of a prefill candidate
// for the job, and the reason if the candidate cannot take the job.
func (m *EngineSelector) evaluatePrefill(now time.Time, j Job, c *member[PrefillReport]) (PrefillCandidate, ExclusionReason) {
	rate := c.report.Rate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	candidate := PrefillCandidate{Host: c.host, Zone: c.zone, Weight: j.ZoneWeights.of(c.zone)}
	processed := rate * now.Sub(c.reportedAt).Seconds()
	queued := max(0, float64(c.report.QueuedTokens+c.unreportedTotal.tokens)-processed)
	candidate.Queue = seconds(queued / rate)
	candidate.Cached = m.cached(now, c.host, j)
	uncached := j.PromptTokens - candidate.Cached
	candidate.Prefill = seconds(float64(uncached) / rate)
	switch {
	case candidate.Weight == 0:
		return candidate, ExcludedZone
	case c.shortOnly && uncached >= longPromptTokens:
		return candidate, ExcludedShortOnly
	case j.MaxQueueWait > 0 && candidate.Queue > j.MaxQueueWait:
		return candidate, ExcludedPrefillQueueFull
	}
	return candidate, ""
}

// evaluateDecode computes the free capacity and the time between tokens of a decode
// candidate with the job, and the reason if the candidate cannot take the job.
func evaluateDecode(j Job, c *member[DecodeReport]) (DecodeCandidate, ExclusionReason) {
	candidate := DecodeCandidate{
		Host:         c.host,
		Zone:         c.zone,
		FreeRequests: c.report.FreeRequests - c.unreportedTotal.requests,
		FreeTokens:   c.report.FreeTokens - c.unreportedTotal.tokens,
		Weight:       j.ZoneWeights.of(c.zone),
	}
	batch := max(0, c.report.Batch+c.unreportedTotal.requests) + 1
	candidate.TokenGap = c.report.GapBase + time.Duration(batch)*c.report.GapStep
	switch {
	case candidate.Weight == 0:
		return candidate, ExcludedZone
	case candidate.FreeRequests < 1:
		return candidate, ExcludedNoDecodeSlot
	case candidate.FreeTokens < j.PromptTokens+j.MaxOutputTokens:
		return candidate, ExcludedNoDecodeMemory
	case j.TokenGapTarget > 0 && candidate.TokenGap > j.TokenGapTarget:
		return candidate, ExcludedTokenGap
	}
	return candidate, ""
}

// estimate computes the expected latency and the score of a pair for the job, and the
// reason if the pair cannot take the job.
func (m *EngineSelector) estimate(now time.Time, j Job, p *PrefillCandidate, d *DecodeCandidate) (Estimate, ExclusionReason) {
	prefillDone := p.Queue + p.Prefill
	wait, transferTime := m.links.estimate(now, ZonePair{From: p.Zone, To: d.Zone}, prefillDone, j.KVBytes)
	e := Estimate{Cached: p.Cached, KVWait: wait + transferTime, TokenGap: d.TokenGap}
	e.FirstToken = prefillDone + e.KVWait + d.TokenGap
	risk := 0.0
	if j.KVLifetime > 0 {
		if e.KVWait > maxKVWait(j) {
			return e, ExcludedKVExpires
		}
		risk = e.KVWait.Seconds() / j.KVLifetime.Seconds() * float64(j.WastedPrefillWeight) / 100
	}
	e.Score = (j.score(e) + risk) / min(p.Weight, d.Weight)
	return e, ""
}

// maxKVWait returns the longest expected wait of a KV cache that is accepted: its
// lifetime, less a margin for the delay of the link's report. The margin grows with
// the weight of wasted prefill, to half of the lifetime at 100 percent.
func maxKVWait(j Job) time.Duration {
	return time.Duration(float64(j.KVLifetime) / (1 + float64(max(j.WastedPrefillWeight, 0))/100))
}

// score returns the time to the first token and the time between tokens, each divided
// by its target, added up, so that neither is improved at a greater cost to the other.
func (j Job) score(e Estimate) float64 {
	first, gap := j.FirstTokenTarget, j.TokenGapTarget
	if first <= 0 {
		first = defaultFirstToken
	}
	if gap <= 0 {
		gap = defaultTokenGap
	}
	return e.FirstToken.Seconds()/first.Seconds() + e.TokenGap.Seconds()/gap.Seconds()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
