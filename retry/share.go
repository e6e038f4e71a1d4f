package retry

import "time"

const (
	// FixedPart is the part of the fleet's fixed number of retries that is divided among the
	// processes, and TrialPart the one that a single process grants to all, for requests which are
	// expected to succeed. That process grants StartPart in its place in the first span after it
	// has started again. A service without such requests has all three divided. The rest covers
	// processes that have joined the fleet and that some others, which can't read the list of its
	// members, do not count yet.
	FixedPart = 0.55
	TrialPart = 0.2
	StartPart = 0.15
)

// FleetBudget is what the operators allow all processes together for a service, in every span.
type FleetBudget struct {
	// RetryRatio is the number of retries allowed for each request, and FixedRetries the number
	// allowed in addition.
	RetryRatio   float64
	FixedRetries float64
	Span         time.Duration
}

// Member is a process among those that share a FleetBudget.
//
// The loads that it answers:
//
//   - Processes crash and start again while most requests fail. What the last start of a process
//     has spent is forgotten with it. If each start had its share at once, the fleet would spend the
//     fixed number once more with each crash.
//   - Processes join. The others divide the fixed number by the processes that they know; until they
//     count a new one, its share is one too many.
//   - A process can't reach the list of members. It is not counted by those that can, and does not
//     know how many they are.
//
// The zero value is a process that nothing is known of, and has no share.
type Member struct {
	// Members is the number of processes, this one included.
	Members int
	// FleetStarted means that all processes started together for the first time, so that none has
	// spent anything before.
	FleetStarted bool
	// Started is when this process started.
	Started time.Time
	// Counted means that the others count this process.
	Counted bool
}

// hasShare reports whether the process may spend a part of a fixed number.
func (m Member) hasShare(now time.Time, span time.Duration) bool {
	return m.Members > 0 && m.Counted && !m.IsNew(now, span)
}

// IsNew reports whether an earlier start of the process may have spent what it had in this span.
func (m Member) IsNew(now time.Time, span time.Duration) bool {
	return !m.FleetStarted && now.Sub(m.Started) < span
}

// PoolTerms are the terms of the Window from which a member grants trials to all. claimed means that
// no other start has granted StartPart in the last span.
func (b FleetBudget) PoolTerms(now time.Time, m Member, claimed bool) WindowConfig {
	c := WindowConfig{Span: b.Span}
	switch {
	case m.hasShare(now, b.Span):
		c.FixedRetries = TrialPart * b.FixedRetries
	case claimed && m.IsNew(now, b.Span):
		c.FixedRetries = StartPart * b.FixedRetries
	}
	return c
}

// Terms are the terms of a member's Window. trials means that the service has trials.
func (b FleetBudget) Terms(now time.Time, m Member, trials bool) WindowConfig {
	fixed := 0.0
	if m.hasShare(now, b.Span) {
		fixed = b.FixedRetries / float64(m.Members)
	}
	c := WindowConfig{RetryRatio: b.RetryRatio, FixedRetries: (FixedPart + TrialPart + StartPart) * fixed, Span: b.Span}
	if trials {
		c.FixedRetries = FixedPart * fixed
	}
	return c
}
