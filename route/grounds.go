package route

import (
	"time"

	"jacinthworks/domain"
)

// ExclusionReason says why a candidate or a pair cannot take a job now.
type ExclusionReason string

// The exclusions.
const (
	ExcludedZone      ExclusionReason = "zone_weight_zero"
	ExcludedLong      ExclusionReason = "short_prompts_only"
	ExcludedQueue     ExclusionReason = "prefill_queue_full"
	ExcludedSlots     ExclusionReason = "no_decode_slot"
	ExcludedMemory    ExclusionReason = "no_decode_memory"
	ExcludedTokenGap  ExclusionReason = "token_gap_passes_target"
	ExcludedKVExpires ExclusionReason = "kv_would_be_evicted"
)

// ExclusionCounts counts what was looked at and excluded, for each reason.
type ExclusionCounts struct {
	// Unusable are draining, ejected or have not reported lately.
	Unusable  int `json:"unusable"`
	Zone      int `json:"zone_weight_zero"`
	Long      int `json:"short_prompts_only"`
	Queue     int `json:"prefill_queue_full"`
	Slots     int `json:"no_decode_slot"`
	Memory    int `json:"no_decode_memory"`
	TokenGap  int `json:"token_gap_passes_target"`
	KVExpires int `json:"kv_would_be_evicted"`
}

func (x *ExclusionCounts) add(why ExclusionReason) {
	switch why {
	case ExcludedZone:
		x.Zone++
	case ExcludedLong:
		x.Long++
	case ExcludedQueue:
		x.Queue++
	case ExcludedSlots:
		x.Slots++
	case ExcludedMemory:
		x.Memory++
	case ExcludedTokenGap:
		x.TokenGap++
	case ExcludedKVExpires:
		x.KVExpires++
	}
}

// Evaluation are the figures behind a choice, for the decision's log line.
type Evaluation struct {
	// PrefillPool and DecodePool are the numbers of candidates known, and
	// Pairs how many pairs were compared.
	PrefillPool int `json:"prefill_pool"`
	DecodePool  int `json:"decode_pool"`
	Pairs       int `json:"pairs"`
	// Prefills and Decodes are the candidates drawn, of which the first
	// PrefillsDrawn and DecodesDrawn are filled.
	Prefills      [prefillSample + cachedSample]PrefillCandidate `json:"-"`
	Decodes       [decodeSample]DecodeCandidate                  `json:"-"`
	PrefillsDrawn int                                            `json:"prefills_drawn"`
	DecodesDrawn  int                                            `json:"decodes_drawn"`
	// Excluded counts candidates that were looked at and not drawn, and pairs.
	Excluded ExclusionCounts `json:"excluded"`
	// Chosen is the estimate of the pair that was chosen.
	Chosen Estimate `json:"chosen"`
}

// PrefillCandidate are the figures of a prefill candidate.
type PrefillCandidate struct {
	Host domain.Host `json:"host"`
	Zone domain.Zone `json:"zone"`
	// Queue is the wait before the prefill, Prefill what it takes after the
	// Cached tokens.
	Queue   time.Duration `json:"queue"`
	Cached  int           `json:"cached"`
	Prefill time.Duration `json:"prefill"`
	// Weight is that of the zone, in hundreds.
	Weight float64 `json:"weight"`
}

// DecodeCandidate are the figures of a decode candidate.
type DecodeCandidate struct {
	Host domain.Host `json:"host"`
	Zone domain.Zone `json:"zone"`
	// FreeRequests and FreeTokens are its room, TokenGap the time between
	// tokens once the job has joined its batch.
	FreeRequests int           `json:"free_requests"`
	FreeTokens   int           `json:"free_tokens"`
	TokenGap     time.Duration `json:"token_gap"`
	Weight       float64       `json:"weight"`
}

// Estimate is what a pair is expected to give. The lowest score is chosen.
type Estimate struct {
	// Cached is the part of the prompt, in tokens, that the prefill engine is
	// believed to hold.
	Cached     int           `json:"cached"`
	FirstToken time.Duration `json:"first_token"`
	TokenGap   time.Duration `json:"token_gap"`
	// KVWait is how long the KV cache has to live after the prefill.
	KVWait time.Duration `json:"kv_wait"`
	Score  float64       `json:"score"`
}

func (g *Evaluation) addPrefill(p PrefillCandidate) {
	g.Prefills[g.PrefillsDrawn] = p
	g.PrefillsDrawn++
}

func (g *Evaluation) addDecode(d DecodeCandidate) {
	g.Decodes[g.DecodesDrawn] = d
	g.DecodesDrawn++
}

// hasPrefill says whether the host was drawn already.
func (g *Evaluation) hasPrefill(h domain.Host) bool {
	for n := range g.prefills() {
		if g.Prefills[n].Host == h {
			return true
		}
	}
	return false
}

func (g *Evaluation) prefills() []PrefillCandidate { return g.Prefills[:g.PrefillsDrawn] }
func (g *Evaluation) decodes() []DecodeCandidate   { return g.Decodes[:g.DecodesDrawn] }
