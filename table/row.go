package table

import (
	"time"

	"jacinthworks/domain"
)

// AnyZone stands for every availability zone without a row of its own.
const AnyZone domain.Zone = "*"

// Row is one line of the table.
type Row struct {
	Service domain.Service `json:"service"`
	Zone    domain.Zone    `json:"zone"`
	Kind    domain.Kind    `json:"kind"`
	// Team owns the row; only its tokens edit it.
	Team string `json:"team"`
	// Weight is this zone's share of the service's work, against the weights
	// of the other zones; zero sends nothing there.
	Weight int `json:"weight"`
	// InFlight limits requests in progress per entry; QueueLimit those waiting.
	InFlight   int `json:"in_flight"`
	QueueLimit int `json:"queue_limit"`
	// CallerRate limits requests a second per caller, over all entries; zero is no limit.
	CallerRate float64 `json:"caller_rate"`
	// Deadline is the time from acceptance to the end of the answer.
	Deadline Duration `json:"deadline"`
	// FirstToken and TokenGap are the targets for time to first token and
	// time between tokens; zero for plain services.
	FirstToken Duration `json:"first_token"`
	TokenGap   Duration `json:"token_gap"`
	// Idempotent work may run again after its outcome was lost.
	Idempotent bool `json:"idempotent"`
	// Priority orders kinds when there is too little room: higher goes first,
	// lower is shed first. 0 to 9.
	Priority int `json:"priority"`
	// MayWait lets work queue past the first-token target, up to its deadline.
	MayWait bool `json:"may_wait"`
	// WastedPrefillWeight sets how much a wasted prefill token counts against
	// goodput in choices, in percent; 100 weighs them alike.
	WastedPrefillWeight int `json:"wasted_prefill_weight"`
}

// Duration is a time.Duration written as text ("1.5s") in our own formats.
type Duration time.Duration

// MarshalText writes the duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads what time.ParseDuration reads.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}
