package model

import (
	"time"

	"jacinthworks/domain"
)

// Settings configure an engine. Zero means the default, given in parentheses; a negative
// EventDelay, ReportLag or EventGap means none.
type Settings struct {
	// Role is the kind of requests that the engine accepts: prefill, decode or, if
	// empty, both.
	Role  domain.Role
	Model domain.Service
	// PrefillRate is in tokens per second (20,000).
	PrefillRate int
	// PrefixTokens is the capacity of the prefix cache, in tokens (100,000).
	PrefixTokens int
	// Slots is the maximum number of concurrent decodes (8).
	Slots int
	// MemoryTokens is the size of the KV memory, in tokens (120,000).
	MemoryTokens int
	// TokenGap is the time between tokens of a single decode (20 ms).
	TokenGap time.Duration
	// BatchCost is the fraction of TokenGap that each further decode adds to the
	// time between tokens (0.08).
	BatchCost float64
	// KVLifetime is the time after which the KV cache of a prefill is evicted
	// (800 ms).
	KVLifetime time.Duration
	// LinkRate is the rate of the link that all exports share, in tokens per second
	// (200,000).
	LinkRate int
	// EventDelay is the delay of cache events (300 ms). One in EventGap events is never
	// delivered (10).
	EventDelay time.Duration
	EventGap   int
	// ReportLag is the age of the state in a load report (200 ms).
	ReportLag time.Duration
	// LoadTime is the duration of an order to load a model (none).
	LoadTime time.Duration
	// IgnoresFencing makes the engine execute orders with an old fencing number.
	IgnoresFencing bool
	// DownTime is how long the engine refuses connections after a crash
	// (500 ms).
	DownTime time.Duration
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.PrefillRate, 20_000)
	setDefault(&s.PrefixTokens, 100_000)
	setDefault(&s.Slots, 8)
	setDefault(&s.MemoryTokens, 120_000)
	setDefault(&s.TokenGap, 20*time.Millisecond)
	setDefault(&s.BatchCost, 0.08)
	setDefault(&s.KVLifetime, 800*time.Millisecond)
	setDefault(&s.LinkRate, 200_000)
	setDefault(&s.EventDelay, 300*time.Millisecond)
	setDefault(&s.EventGap, 10)
	setDefault(&s.ReportLag, 200*time.Millisecond)
	setDefault(&s.DownTime, 500*time.Millisecond)
	return s
}

// setDefault sets a zero value to fallback.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
