package shares

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"jacinthworks/domain"
)

const (
	// window is the time constant over which what an account used decays.
	window = 5 * time.Second
	// contentionWindow is how long after a refusal or a wait of one account others may be
	// limited for its sake, and the time constant of the sums of the ranks.
	contentionWindow = time.Second
	// minSenderExpiry is the least time for which the waiting work that an entry reported is
	// counted without another report.
	minSenderExpiry = time.Second
	// senderExpiryIntervals is the same in intervals between two reports.
	senderExpiryIntervals = 2
	// viewInterval is how long a view is used for the answers to several entries: computing
	// it takes a sort of all accounts.
	viewInterval = 50 * time.Millisecond
	// minServedPart is the part of its share above which an account that asks for more than
	// its share does not cause others to be limited. While all accounts ask for more, each is
	// a little above or below its share at any time, and requests of the highest priority
	// would be refused for the sake of bulk work of another account.
	minServedPart = 0.6
	// maxTracked bounds the accounts of which an owner keeps sums.
	maxTracked = 4096
	// minTracked is the cost below which an account is no longer tracked.
	minTracked = 0.01
)

// decaying is a sum that decays exponentially with a time constant.
type decaying struct {
	sum float64
	at  time.Time
}

func (d *decaying) add(now time.Time, x float64, constant time.Duration) {
	d.sum, d.at = d.value(now, constant)+x, now
}

func (d *decaying) value(now time.Time, constant time.Duration) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-max(now.Sub(d.at), 0).Seconds()/constant.Seconds())
}

// accountSums is what the entries reported of one account.
type accountSums struct {
	served, refused decaying
	// unmetAt is when a report last had refused or waiting work.
	unmetAt time.Time
}

// rankSums is what the entries reported of one rank; refusedAt is when a report last had
// refused work.
type rankSums struct {
	asked, refused decaying
	refusedAt      time.Time
}

// senderState is the last report of one entry: its waiting work.
type senderState struct {
	at, until time.Time
	accounts  []Usage
	ranks     []RankUsage
}

// Pool sums up, at the owner, what all entries report of one service. The zero value is ready
// to use; it must not be copied. It is safe for concurrent use.
type Pool struct {
	mu       sync.Mutex // leaf lock: no other lock is acquired while it is held
	accounts map[domain.Account]*accountSums
	ranks    map[int]*rankSums
	senders  map[domain.Host]senderState
	view     View
	viewAt   time.Time
}

// Add adds a report that was checked. interval is the time between two reports of an entry.
func (p *Pool) Add(now time.Time, interval time.Duration, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.accounts == nil {
		p.accounts, p.ranks, p.senders = make(map[domain.Account]*accountSums), make(map[int]*rankSums), make(map[domain.Host]senderState)
	}
	w := senderState{at: now, until: now.Add(max(minSenderExpiry, senderExpiryIntervals*interval))}
	for _, u := range r.Accounts {
		a := p.accounts[u.Account]
		if a == nil {
			if len(p.accounts) >= maxTracked {
				continue
			}
			a = &accountSums{}
			p.accounts[u.Account] = a
		}
		a.served.add(now, u.Served, window)
		a.refused.add(now, u.Refused, window)
		if u.Refused > 0 || u.Waiting > 0 {
			a.unmetAt = now
		}
		if u.Waiting > 0 {
			w.accounts = append(w.accounts, u)
		}
	}
	for _, u := range r.Ranks {
		if p.ranks[u.Rank] == nil {
			p.ranks[u.Rank] = &rankSums{}
		}
		p.ranks[u.Rank].asked.add(now, u.Asked, contentionWindow)
		p.ranks[u.Rank].refused.add(now, u.Refused, contentionWindow)
		if u.Refused > 0 {
			p.ranks[u.Rank].refusedAt = now
		}
		if u.Waiting > 0 {
			w.ranks = append(w.ranks, u)
		}
	}
	p.senders[r.Sender] = w
}

// SenderCount returns the number of entries that have reported lately.
func (p *Pool) SenderCount(now time.Time) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.senders {
		if !now.After(w.until) {
			n++
		}
	}
	return n
}

// View returns the view of the fleet. weight is the weight of an account; it must be positive.
func (p *Pool) View(now time.Time, weight func(domain.Account) float64) View {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.viewAt.IsZero() || now.Sub(p.viewAt) >= viewInterval {
		p.view, p.viewAt = p.compute(now, weight), now
	}
	v := p.view
	v.AgeMS = inMilliseconds(max(now.Sub(p.viewAt), 0))
	return v
}

// standing is one account in the computation of a view.
type standing struct {
	Part
	Claim
	served float64
	unmet  bool
}

// compute computes a view. p.mu must be held.
//
// The capacity is what was served, which is all there is while requests are refused. What the
// accounts above their shares received in excess is what those below them lack, so that an
// account can be over its share only if another one was not served as it asked. Waiting work
// counts as demand only: counted as received, all accounts of a full fleet would be above
// their shares at the same time.
func (p *Pool) compute(now time.Time, weight func(domain.Account) float64) View {
	waiting := make(map[domain.Account]float64)
	waitingRanks := make(map[int]RankUsage)
	for name, w := range p.senders {
		if now.After(w.until) {
			delete(p.senders, name)
			continue
		}
		for _, u := range w.accounts {
			waiting[u.Account] += u.Waiting
		}
		for _, u := range w.ranks {
			n := waitingRanks[u.Rank]
			n.Waiting += u.Waiting
			n.OldestMS = max(n.OldestMS, u.OldestMS+inMilliseconds(now.Sub(w.at)))
			waitingRanks[u.Rank] = n
		}
	}
	all := make([]standing, 0, len(p.accounts))
	claims := make([]Claim, 0, len(p.accounts))
	capacity := 0.0
	for name, a := range p.accounts {
		served, refused := a.served.value(now, window), a.refused.value(now, window)
		c := Claim{Demand: served + waiting[name] + refused, Weight: weight(name)}
		if c.Demand < minTracked {
			delete(p.accounts, name)
			continue
		}
		all = append(all, standing{Part: Part{Account: name}, Claim: c, served: served, unmet: now.Sub(a.unmetAt) <= contentionWindow})
		claims = append(claims, c)
		capacity += served
	}
	level, contended := FairLevel(capacity, claims), false
	for n := range all {
		t := &all[n]
		t.Over = t.served > t.Weight*level*(1+rounding)
		entitled := t.Demand <= t.Weight*level || t.served < minServedPart*t.Weight*level
		contended = contended || !t.Over && t.unmet && entitled
		if capacity > 0 {
			t.Part.Part = t.Share(level) / capacity
		}
	}
	for n := range all {
		all[n].Over = all[n].Over && contended
	}
	slices.SortFunc(all, func(a, b standing) int {
		if a.Over != b.Over {
			return map[bool]int{true: -1, false: 1}[a.Over]
		}
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Account, b.Account))
	})
	v := View{Accounts: make([]Part, 0, min(len(all), MaxAccounts)), Ranks: p.rankUsage(now, waitingRanks)}
	for _, t := range all[:min(len(all), MaxAccounts)] {
		v.Accounts = append(v.Accounts, t.Part)
	}
	return v
}

// rankUsage returns the sums of the ranks. p.mu must be held.
func (p *Pool) rankUsage(now time.Time, waiting map[int]RankUsage) []RankUsage {
	all := make([]RankUsage, 0, len(p.ranks))
	for rank, n := range p.ranks {
		u := waiting[rank]
		u.Rank, u.Asked, u.Refused = rank, n.asked.value(now, contentionWindow), n.refused.value(now, contentionWindow)
		if u.Asked+u.Refused+u.Waiting < minTracked {
			delete(p.ranks, rank)
			continue
		}
		if now.Sub(n.refusedAt) > contentionWindow {
			u.Refused = 0
		}
		all = append(all, u)
	}
	slices.SortFunc(all, func(a, b RankUsage) int { return cmp.Compare(a.Rank, b.Rank) })
	return all
}
