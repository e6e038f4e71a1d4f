package shares

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"jacinthworks/domain"
)

// minWait is how long a request must have waited to count as waiting: a search for capacity
// takes some round trips even if all engines are idle.
const minWait = 50 * time.Millisecond

// Meter counts, at one entry, what the accounts asked for and received of one service. The
// zero value is ready to use; it must not be copied. It is safe for concurrent use.
type Meter struct {
	mu       sync.Mutex // leaf lock: no other lock is acquired while it is held
	accounts map[domain.Account]*Usage
	ranks    map[int]*RankUsage
	waiting  map[*Item]bool
	// reportedWaiting means that the last report had waiting work, which the next one must
	// revoke.
	reportedWaiting bool
}

// Item is one request in a Meter. A nil Item is not counted.
type Item struct {
	account domain.Account
	rank    int
	cost    float64
	since   time.Time
	started bool
}

// Arrived counts a request that asks for capacity.
func (m *Meter) Arrived(now time.Time, account domain.Account, rank int, cost float64) *Item {
	i := &Item{account: account, rank: min(max(rank, 0), MaxRank), cost: cost, since: now}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waiting == nil {
		m.waiting = make(map[*Item]bool)
	}
	m.waiting[i] = true
	return i
}

// Started counts the request as served: it got its capacity. Each further attempt of the
// request that runs is counted again.
func (m *Meter) Started(i *Item) {
	if i == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waiting, i)
	i.started = true
	m.account(i.account).Served += i.cost
	m.rank(i.rank).Asked += i.cost
}

// Returned undoes Started: the upstream refused the request without running it.
func (m *Meter) Returned(i *Item) {
	if i == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting[i] = true
	i.started = false
	u, n := m.account(i.account), m.rank(i.rank)
	u.Served, n.Asked = max(0, u.Served-i.cost), max(0, n.Asked-i.cost)
}

// Outcome is how a request ended that got no capacity.
type Outcome int

// The outcomes of a request.
const (
	// Other is the outcome of a request that was served, or that ended for another reason
	// than a lack of capacity.
	Other Outcome = iota
	// Refused is the outcome of a request for which there was no capacity.
	Refused
	// Limited is the outcome of a request that was refused because its account is over its
	// share. It says nothing of the capacity for its priority.
	Limited
)

// Ended counts the end of a request.
func (m *Meter) Ended(i *Item, o Outcome) {
	if i == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waiting, i)
	if o == Other || i.started {
		return
	}
	m.account(i.account).Refused += i.cost
	if o == Refused {
		n := m.rank(i.rank)
		n.Asked, n.Refused = n.Asked+i.cost, n.Refused+i.cost
	}
}

// account returns the sums of an account. m.mu must be held.
func (m *Meter) account(a domain.Account) *Usage {
	if m.accounts == nil {
		m.accounts = make(map[domain.Account]*Usage)
	}
	if m.accounts[a] == nil {
		m.accounts[a] = &Usage{Account: a}
	}
	return m.accounts[a]
}

// rank returns the sums of a rank. m.mu must be held.
func (m *Meter) rank(n int) *RankUsage {
	if m.ranks == nil {
		m.ranks = make(map[int]*RankUsage)
	}
	if m.ranks[n] == nil {
		m.ranks[n] = &RankUsage{Rank: n}
	}
	return m.ranks[n]
}

// Take returns the report of what was counted since the last Take; the caller sets its service
// and sender. It returns false if there is nothing to report.
func (m *Meter) Take(now time.Time) (Report, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	waits := false
	for i := range m.waiting {
		waited := now.Sub(i.since)
		if waited < minWait {
			continue
		}
		waits = true
		m.account(i.account).Waiting += i.cost
		n := m.rank(i.rank)
		n.Waiting += i.cost
		n.OldestMS = max(n.OldestMS, inMilliseconds(waited))
	}
	if len(m.accounts) == 0 && len(m.ranks) == 0 && !m.reportedWaiting {
		return Report{}, false
	}
	r := Report{Accounts: make([]Usage, 0, len(m.accounts)), Ranks: make([]RankUsage, 0, len(m.ranks))}
	for _, u := range m.accounts {
		r.Accounts = append(r.Accounts, *u)
	}
	for _, u := range m.ranks {
		r.Ranks = append(r.Ranks, *u)
	}
	slices.SortFunc(r.Accounts, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Served+b.Waiting, a.Served+a.Waiting), cmp.Compare(a.Account, b.Account))
	})
	r.Accounts = r.Accounts[:min(len(r.Accounts), MaxAccounts)]
	slices.SortFunc(r.Ranks, func(a, b RankUsage) int { return cmp.Compare(a.Rank, b.Rank) })
	clear(m.accounts)
	clear(m.ranks)
	m.reportedWaiting = waits
	return r, true
}
