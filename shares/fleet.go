package shares

import (
	"slices"
	"sync"
	"time"

	"jacinthworks/domain"
)

// A view of the fleet has its full effect until FadeStart, then fades, and has none from
// FadeEnd on: an entry that reaches no owner decides by its own queue.
const (
	FadeStart = time.Second
	FadeEnd   = 5 * time.Second
)

// Fleet holds, at an entry, the last view of the fleet for one service. The zero value is
// ready to use; it must not be copied. It is safe for concurrent use.
type Fleet struct {
	mu         sync.RWMutex // leaf lock: no other lock is acquired while it is held
	computedAt time.Time
	over       []domain.Account
	parts      map[domain.Account]float64
	ranks      []RankUsage
}

// Update replaces the view by one that was received now, unless the known one is newer. It
// returns the accounts that are over their shares, and whether they are others than before.
func (f *Fleet) Update(now time.Time, v View) (over []domain.Account, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	computedAt := now.Add(-milliseconds(min(v.AgeMS, inMilliseconds(FadeEnd))))
	if computedAt.Before(f.computedAt) {
		return f.over, false
	}
	parts := make(map[domain.Account]float64, len(v.Accounts))
	for _, p := range v.Accounts {
		parts[p.Account] = p.Part
		if p.Over {
			over = append(over, p.Account)
		}
	}
	slices.Sort(over)
	changed = !slices.Equal(over, f.over)
	f.computedAt, f.over, f.parts, f.ranks = computedAt, over, parts, v.Ranks
	return over, changed
}

// effect returns how far the view has effect: 1 fully, 0 not any more. f.mu must be held.
func (f *Fleet) effect(now time.Time) float64 {
	if f.computedAt.IsZero() {
		return 0
	}
	faded := float64(now.Sub(f.computedAt)-FadeStart) / float64(FadeEnd-FadeStart)
	return 1 - min(max(faded, 0), 1)
}

// Over returns how far an account is to be limited: 0 if it is within its share or the view is
// too old, otherwise up to 1.
func (f *Fleet) Over(now time.Time, a domain.Account) float64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if _, over := slices.BinarySearch(f.over, a); !over {
		return 0
	}
	return f.effect(now)
}

// OverAccounts returns the accounts that are over their shares, as long as the view has effect.
func (f *Fleet) OverAccounts(now time.Time) []domain.Account {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.effect(now) == 0 {
		return nil
	}
	return slices.Clone(f.over)
}

// OverCount returns the number of accounts that are over their shares.
func (f *Fleet) OverCount(now time.Time) int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.effect(now) == 0 {
		return 0
	}
	return len(f.over)
}

// Part returns an account's share, as a part of what the service served, and the age of the
// view; ok is false if the view does not list the account.
func (f *Fleet) Part(now time.Time, a domain.Account) (part float64, age time.Duration, ok bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	part, ok = f.parts[a]
	return part, now.Sub(f.computedAt), ok
}

const (
	// waitPart is the part of a priority's target above which its wait counts as a lack of
	// capacity.
	waitPart = 0.25
	// minRankPart is the part of the capacity that stays for each priority.
	minRankPart = 0.1
)

// Pressure is what the priorities of a service lack, as seen from one rank.
type Pressure struct {
	// Steps is by how many priorities the rank is below the highest one that was refused in
	// the last second, or waits longer than a quarter of its target. It is 0 if there is none,
	// or if the rank got less than a tenth of what was served.
	Steps int
	// Effect is how far the view has effect, as for Over.
	Effect float64
}

// Pressure returns the pressure on a rank; target is the target latency of a rank.
func (f *Fleet) Pressure(now time.Time, rank int, target func(rank int) time.Duration) Pressure {
	f.mu.RLock()
	defer f.mu.RUnlock()
	p := Pressure{Effect: f.effect(now)}
	own, total := 0.0, 0.0
	for _, u := range f.ranks {
		total += u.served()
		if u.Rank == rank {
			own = u.served()
		}
		if u.Rank < rank && (p.Steps > 0 || u.Refused > 0 || u.Waiting > 0 && u.Oldest() > time.Duration(waitPart*float64(target(u.Rank)))) {
			p.Steps++
		}
	}
	if own < minRankPart*total {
		p.Steps = 0
	}
	return p
}
