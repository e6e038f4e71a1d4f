package route

import (
	"time"

	"jacinthworks/domain"
)

// ExclusionReason says why a candidate or a pair cannot take a job at present.
type ExclusionReason string

// The reasons for which a candidate or a pair is excluded.
const (
	ExcludedZone             ExclusionReason = "zone_weight_zero"
	ExcludedShortOnly        ExclusionReason = "short_prompts_only"
	ExcludedPrefillQueueFull ExclusionReason = "prefill_queue_full"
	ExcludedNoDecodeSlot     ExclusionReason = "no_decode_slot"
	ExcludedNoDecodeMemory   ExclusionReason = "no_decode_memory"
	ExcludedTokenGap         ExclusionReason = "token_gap_passes_target"
	ExcludedKVExpires        ExclusionReason = "kv_would_be_evicted"
)

// ExclusionCounts holds the number of candidates and pairs excluded for each
// reason.
type ExclusionCounts struct {
	// Unusable is the number of sampled candidates that were draining, ejected or
	// had not reported lately.
	Unusable  int `json:"unusable"`
	Zone      int `json:"zone_weight_zero"`
	ShortOnly int `json:"short_prompts_only"`
	Queue     int `json:"prefill_queue_full"`
	Slots     int `json:"no_decode_slot"`
	Memory    int `json:"no_decode_memory"`
	TokenGap  int `json:"token_gap_passes_target"`
	KVExpires int `json:"kv_would_be_evicted"`
}

func (x *ExclusionCounts) add(exclusion ExclusionReason) {
	switch exclusion {
	case ExcludedZone:
		x.Zone++
	case ExcludedShortOnly:
		x.ShortOnly++
	case ExcludedPrefillQueueFull:
		x.Queue++
	case ExcludedNoDecodeSlot:
		x.Slots++
	case ExcludedNoDecodeMemory:
		x.Memory++
	case ExcludedTokenGap:
		x.TokenGap++
	case ExcludedKVExpires:
		x.KVExpires++
	}
}

// Evaluation holds the candidates and the estimates that a choice of an engine pair
// was based on. It is logged with the decision.
type Evaluation struct {
	// PrefillPool and DecodePool are the numbers of engines in the pools, and Pairs is
	// the number of pairs of sampled candidates that were compared.
	PrefillPool int `json:"prefill_pool"`
	DecodePool  int `json:"decode_pool"`
	Pairs       int `json:"pairs"`
	// Prefills and Decodes are the sampled candidates; the first PrefillsDrawn and
	// DecodesDrawn elements are set.
	Prefills      [prefillSampleSize + cachedSampleSize]PrefillCandidate `json:"-"`
	Decodes       [decodeSampleSize]DecodeCandidate                      `json:"-"`
	PrefillsDrawn int                                                    `json:"prefills_drawn"`
	DecodesDrawn  int                                                    `json:"decodes_drawn"`
	// CoolingDown counts the rejected candidates and pairs by reason.
	Excluded ExclusionCounts `json:"excluded"`
	// Chosen is the estimate for the chosen pair.
	Chosen Estimate `json:"chosen"`
}

// PrefillCandidate is a sampled prefill engine with its expected wait and prefill time.
type PrefillCandidate struct {
	Host domain.Host `json:"host"`
	Zone domain.Zone `json:"zone"`
	// Queue is the wait before the prefill. Prefill is the duration of the prefill,
	// which skips the Cached tokens.
	Queue   time.Duration `json:"queue"`
	Cached  int           `json:"cached"`
	Prefill time.Duration `json:"prefill"`
	// Weight is the zone's weight divided by 100.
	Weight float64 `json:"weight"`
}

// DecodeCandidate is a sampled decode engine with its free capacity and time between
// tokens.
type DecodeCandidate struct {
	Host domain.Host `json:"host"`
	Zone domain.Zone `json:"zone"`
	// FreeRequests and FreeTokens are the free request slots and memory tokens.
	// TokenGap is the time between tokens once the job has joined the batch. Weight is
	// the zone's weight divided by 100.
	FreeRequests int           `json:"free_requests"`
	FreeTokens   int           `json:"free_tokens"`
	TokenGap     time.Duration `json:"token_gap"`
	Weight       float64       `json:"weight"`
}

// Estimate is the expected latency of a job on a pair of engines. The pair with the
// lowest score is chosen.
type Estimate struct {
	// MaxCachedTokens is the number of prompt tokens that the prefill engine is expected to
	// have cached.
	Cached     int           `json:"cached"`
	FirstToken time.Duration `json:"first_token"`
	TokenGap   time.Duration `json:"token_gap"`
	// KVWait is how long the KV cache must be kept after the prefill: until its
	// transfer is complete.
	KVWait time.Duration `json:"kv_wait"`
	// Score is the sum of FirstToken and TokenGap, each divided by its target, and of
	// the weighted risk that the KV cache expires, divided by the lower zone weight.
	Score float64 `json:"score"`
}

func (e *Evaluation) addPrefill(p PrefillCandidate) {
	e.Prefills[e.PrefillsDrawn] = p
	e.PrefillsDrawn++
}

func (e *Evaluation) addDecode(d DecodeCandidate) {
	e.Decodes[e.DecodesDrawn] = d
	e.DecodesDrawn++
}

// hasPrefill reports whether the host was already sampled.
func (e *Evaluation) hasPrefill(h domain.Host) bool {
	for n := range e.prefills() {
		if e.Prefills[n].Host == h {
			return true
		}
	}
	return false
}

func (e *Evaluation) prefills() []PrefillCandidate { return e.Prefills[:e.PrefillsDrawn] }
func (e *Evaluation) decodes() []DecodeCandidate   { return e.Decodes[:e.DecodesDrawn] }
