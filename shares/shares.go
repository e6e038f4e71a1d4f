// Package shares divides a service's capacity among client accounts over all entries of a
// fleet. One entry, the owner, sums up what the entries report and computes each account's
// fair share; the entries limit the accounts that are over theirs.
//
// The loads that it answers:
//
//   - Some accounts send many times their usual rate while the fleet is overloaded. Each entry
//     divides what it serves itself equally among its own callers, but it sees a few requests
//     of each account. Without the sums over the fleet, an account that is heavy everywhere
//     gets capacity that a light one needs at another entry.
//   - An account's refused callers retry at other entries. Without the sums, each retry looks
//     like the only request of its account.
//   - The highest priority is refused at some entries while others serve bulk work: an entry's
//     queue orders only its own requests. While a higher priority lacks capacity anywhere, lower
//     ones leave more room, down to a tenth of the capacity for each.
//   - There is capacity for all. An account is limited only while an account within its share
//     was refused or waited in the last second, so that nothing changes otherwise.
//   - The owner is not reachable. A view of the fleet loses its effect within FadeEnd, and each
//     entry then decides by its own queue, as without this package.
//
// A report and a view hold at most MaxAccounts accounts, so that the cost per entry does not
// depend on the number of entries.
//
// # Usage
//
//	var m shares.Meter                          // at each entry, for each service
//	i := m.Arrived(now, account, rank, tokens)
//	m.Started(i)                                // when it got its capacity
//	m.Ended(i, shares.Refused)                  // or shares.Other
//	report, ok := m.Take(now)                   // periodically; sent to the owner
//
//	var p shares.Pool                           // at the owner
//	if err := report.Check(known); err != nil { reject(err) }
//	p.Add(now, interval, report)
//	view := p.View(now, weight)                 // returned to the entry
//
//	var f shares.Fleet                          // at each entry
//	f.Update(now, view)
//	limit := f.Over(now, account)               // 0: not over its share
//	p := f.Pressure(now, rank, target)          // what higher priorities lack
//
// The package reads no clock. Times must come from a monotonic clock.
package shares

import (
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
)

const (
	// MaxAccounts bounds the accounts of a report and of a view.
	MaxAccounts = 64
	// MaxRank is the largest rank: a priority of more is reported as this one.
	MaxRank = 63
	// maxListed and maxValue bound what is accepted from another process.
	maxListed = 4096
	maxValue  = 1e12
)

// Usage is what one account used, in the unit of the service's cost: tokens of streams, or
// calls.
type Usage struct {
	Account domain.Account `json:"account"`
	// Served and Refused are sums since the last report; Waiting is what waits now.
	Served  float64 `json:"served"`
	Waiting float64 `json:"waiting"`
	Refused float64 `json:"refused"`
}

// RankUsage is what was asked for and refused at one priority; rank 0 is the highest.
type RankUsage struct {
	Rank int `json:"rank"`
	// Asked is what was served or refused, and Refused what was refused, since the last
	// report, and in a view over the last second; Waiting is what waits now.
	Asked   float64 `json:"asked"`
	Refused float64 `json:"refused"`
	Waiting float64 `json:"waiting"`
	// OldestMS is how long the oldest request has waited, in ms.
	OldestMS float64 `json:"oldest_ms"`
}

// served is what was served.
func (r RankUsage) served() float64 { return max(0, r.Asked-r.Refused) }

// Oldest is how long the oldest request has waited.
func (r RankUsage) Oldest() time.Duration { return milliseconds(r.OldestMS) }

// Report is what one entry observed of a service since its last report.
type Report struct {
	Service  domain.Service `json:"service"`
	Sender   domain.Host    `json:"sender"`
	Accounts []Usage        `json:"accounts"`
	Ranks    []RankUsage    `json:"ranks"`
}

// Check returns an error if a report must not be counted. known reports whether an account may
// be in it.
func (r Report) Check(known func(domain.Account) bool) error {
	if len(r.Accounts) > maxListed || len(r.Ranks) > maxListed {
		return errors.Errorf("shares: a report lists %d accounts and %d ranks", len(r.Accounts), len(r.Ranks))
	}
	for _, u := range r.Accounts {
		if u.Account == "" || !known(u.Account) {
			return errors.Errorf("shares: a report names account %q, which is not known", u.Account)
		}
		if !valid(u.Served, u.Waiting, u.Refused) {
			return errors.Errorf("shares: a report has an invalid amount of account %q", u.Account)
		}
	}
	for _, u := range r.Ranks {
		if u.Rank < 0 || u.Rank > MaxRank || !valid(u.Asked, u.Refused, u.Waiting, u.OldestMS) {
			return errors.Errorf("shares: a report has an invalid amount of rank %d", u.Rank)
		}
	}
	return nil
}

// valid reports whether all values are in the range that is accepted from other processes;
// it is false for NaN.
func valid(all ...float64) bool {
	for _, x := range all {
		if !(x >= 0 && x <= maxValue) {
			return false
		}
	}
	return true
}

// Part is an account's max-min share.
type Part struct {
	Account domain.Account `json:"account"`
	// Part is the share, as a part of what the service served.
	Part float64 `json:"part"`
	// Over means that the account received more than its share while an account within its
	// share was refused or waited.
	Over bool `json:"over,omitempty"`
}

// View is the view of the fleet that the owner returns: the accounts that are over their
// shares first, then those with the highest demand.
type View struct {
	Accounts []Part      `json:"accounts"`
	Ranks    []RankUsage `json:"ranks"`
	// AgeMS is how long ago the view was computed, in ms.
	AgeMS float64 `json:"age_ms"`
}

// Check returns an error if a view must not be used.
func (v View) Check() error {
	if len(v.Accounts) > maxListed || len(v.Ranks) > maxListed || !valid(v.AgeMS) {
		return errors.New("shares: a view is too long or has an invalid age")
	}
	for _, p := range v.Accounts {
		if !valid(p.Part) {
			return errors.Errorf("shares: a view has an invalid part of account %q", p.Account)
		}
	}
	for _, u := range v.Ranks {
		if u.Rank < 0 || u.Rank > MaxRank || !valid(u.Asked, u.Refused, u.Waiting, u.OldestMS) {
			return errors.Errorf("shares: a view has an invalid amount of rank %d", u.Rank)
		}
	}
	return nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
