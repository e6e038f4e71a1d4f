package route

import (
	"time"

	"jacinthworks/work"
)

// Exclusion says why a candidate or a pair cannot take a job now.
type Exclusion string

// The exclusions.
const (
	ExcludedZone      Exclusion = "zone_weight_zero"
	ExcludedLong      Exclusion = "short_prompts_only"
	ExcludedQueue     Exclusion = "prefill_queue_full"
	ExcludedSlots     Exclusion = "no_decode_slot"
	ExcludedMemory    Exclusion = "no_decode_memory"
	ExcludedTokenGap  Exclusion = "token_gap_passes_target"
	ExcludedKVExpires Exclusion = "kv_would_be_evicted"
)

// Exclusions counts what was looked at and excluded, for each reason.
type Exclusions struct {
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

func (x *Exclusions) add(why Exclusion) {
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

// Grounds are the figures behind a choice, for the decision's log line.
type Grounds struct {
	// PrefillPool and DecodePool are the numbers of candidates known, and
	// Pairs how many pairs were compared.
	PrefillPool int `json:"prefill_pool"`
	DecodePool  int `json:"decode_pool"`
	Pairs       int `json:"pairs"`
	// Prefills and Decodes are the candidates drawn, of which the first
	// PrefillsDrawn and DecodesDrawn are filled.
	Prefills      [prefillSample + cachedSample]PrefillGrounds `json:"-"`
	Decodes       [decodeSample]DecodeGrounds                  `json:"-"`
	PrefillsDrawn int                                          `json:"prefills_drawn"`
	DecodesDrawn  int                                          `json:"decodes_drawn"`
	// Excluded counts candidates that were looked at and not drawn, and pairs.
	Excluded Exclusions `json:"excluded"`
	// Chosen is the estimate of the pair that was chosen.
	Chosen Estimate `json:"chosen"`
}

// PrefillGrounds are the figures of a prefill candidate.
type PrefillGrounds struct {
	Host work.Host `json:"host"`
	Zone work.Zone `json:"zone"`
	// Queue is the wait before the prefill, Prefill what it takes after the
	// Cached tokens.
	Queue   time.Duration `json:"queue"`
	Cached  int           `json:"cached"`
	Prefill time.Duration `json:"prefill"`
	// Weight is that of the zone, in hundreds.
	Weight float64 `json:"weight"`
}

// DecodeGrounds are the figures of a decode candidate.
type DecodeGrounds struct {
	Host work.Host `json:"host"`
	Zone work.Zone `json:"zone"`
	// FreeRequests and FreeTokens are its room, TokenGap the time between
	// tokens once the job has joined its batch.
	FreeRequests int           `json:"free_requests"`
	FreeTokens   int           `json:"free_tokens"`
	TokenGap     time.Duration `json:"token_gap"`
	Weight       float64       `json:"weight"`
}

// Estimate is what a pair is expected to give. The lowest score is chosen.
type Estimate struct {
	FirstToken time.Duration `json:"first_token"`
	TokenGap   time.Duration `json:"token_gap"`
	// KVWait is how long the KV cache has to live after the prefill.
	KVWait time.Duration `json:"kv_wait"`
	Score  float64       `json:"score"`
}

func (g *Grounds) addPrefill(p PrefillGrounds) {
	g.Prefills[g.PrefillsDrawn] = p
	g.PrefillsDrawn++
}

func (g *Grounds) addDecode(d DecodeGrounds) {
	g.Decodes[g.DecodesDrawn] = d
	g.DecodesDrawn++
}

// hasPrefill says whether the host was drawn already.
func (g *Grounds) hasPrefill(h work.Host) bool {
	for n := range g.prefills() {
		if g.Prefills[n].Host == h {
			return true
		}
	}
	return false
}

func (g *Grounds) prefills() []PrefillGrounds { return g.Prefills[:g.PrefillsDrawn] }
func (g *Grounds) decodes() []DecodeGrounds   { return g.Decodes[:g.DecodesDrawn] }
