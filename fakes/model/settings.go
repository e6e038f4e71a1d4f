package model

import (
	"time"

	"jacinthworks/domain"
)

// Settings are an engine's figures. Zero takes the default in brackets; a
// negative EventDelay, ReportLag or EventGap is none.
type Settings struct {
	// Role is what the engine takes: prefill, decode or, if empty, both.
	Role  domain.Role
	Model domain.Service
	// PrefillRate is in tokens a second (20,000).
	PrefillRate int
	// PrefixTokens is room for cached prefixes, in tokens (100,000).
	PrefixTokens int
	// Slots is how many decodes fit (8).
	Slots int
	// MemoryTokens is KV memory in tokens (120,000).
	MemoryTokens int
	// TokenGap is the time between tokens of a lone decode (20 ms).
	TokenGap time.Duration
	// BatchCost is what each further decode adds to the gap, as a share of
	// TokenGap (0.08).
	BatchCost float64
	// KVLifetime is how long a prefill's KV cache is kept (800 ms).
	KVLifetime time.Duration
	// LinkRate is what all exports share, in tokens a second (200,000).
	LinkRate int
	// EventDelay is how late cache events come (300 ms); every EventGap-th is
	// lost (10).
	EventDelay time.Duration
	EventGap   int
	// ReportLag is how late the load report is (200 ms).
	ReportLag time.Duration
	// LoadTime is how long an order to load takes (none).
	LoadTime time.Duration
	// IgnoresFencing obeys orders with an old fencing number.
	IgnoresFencing bool
	// DownTime is how long the engine refuses connections after a crash
	// (500 ms).
	DownTime time.Duration
}

func (s Settings) filled() Settings {
	fill(&s.PrefillRate, 20_000)
	fill(&s.PrefixTokens, 100_000)
	fill(&s.Slots, 8)
	fill(&s.MemoryTokens, 120_000)
	fill(&s.TokenGap, 20*time.Millisecond)
	fill(&s.BatchCost, 0.08)
	fill(&s.KVLifetime, 800*time.Millisecond)
	fill(&s.LinkRate, 200_000)
	fill(&s.EventDelay, 300*time.Millisecond)
	fill(&s.EventGap, 10)
	fill(&s.ReportLag, 200*time.Millisecond)
	fill(&s.DownTime, 500*time.Millisecond)
	return s
}

func fill[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
