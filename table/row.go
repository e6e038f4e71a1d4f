package table

import (
	"time"

	"jacinthworks/domain"
)

// AnyZone matches every availability zone without a row of its own.
const AnyZone domain.Zone = "*"

// Row is one line of the table.
type Row struct {
	Service domain.Service `json:"service"`
	Zone    domain.Zone    `json:"zone"`
	Kind    domain.Kind    `json:"kind"`
	// Team owns the row; only operators in that team may edit it.
	Team string `json:"team"`
	// Weight is the relative share of the service's requests that this zone receives,
	// against the weights of the other zones; a zone with weight zero receives none.
	Weight int `json:"weight"`
	// InFlight limits the requests in progress per entry, QueueLimit the queued
	// requests per entry.
	InFlight   int `json:"in_flight"`
	QueueLimit int `json:"queue_limit"`
	// CallerRate limits the requests per second of each caller, over all entries;
	// zero is no limit.
	CallerRate float64 `json:"caller_rate"`
	// Deadline is the longest time from acceptance to the end of the response.
	Deadline Duration `json:"deadline"`
	// FirstToken and TokenGap are the targets for the time to first token and
	// the time between tokens; zero for plain services.
	FirstToken Duration `json:"first_token"`
	TokenGap   Duration `json:"token_gap"`
	// Idempotent requests may run again after their outcome was lost.
	Idempotent bool `json:"idempotent"`
	// Priority orders kinds when capacity is short: a higher priority is served
	// first, a lower one is shed first. 0 to 9.
	Priority int `json:"priority"`
	// MayWait allows requests to queue past the first-token target, up to their
	// deadline.
	MayWait bool `json:"may_wait"`
	// WastedPrefillWeight is the weight, in percent, of a wasted prefill token
	// against a token of goodput in scheduling decisions; 100 weighs them equally.
	WastedPrefillWeight int `json:"wasted_prefill_weight"`
}

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// MarshalText writes the duration as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a duration in the syntax of time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}
