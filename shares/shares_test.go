package shares

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/domain"
)

// Guards against shares that add up to more or less than was served, and against an account
// that is limited although it received no more than its share or nobody else lacks anything.
func TestSharesAddUpAndLimitOnlyAccountsOverThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Pool
		amount := rapid.Map(rapid.Float64Range(0, 1e6), math.Floor) // whole tokens or calls
		weights := make(map[domain.Account]float64)
		served, demand := make(map[domain.Account]float64), make(map[domain.Account]float64)
		total := 0.0
		now := time.Unix(1000, 0)
		for n := range rapid.IntRange(1, 12).Draw(t, "reports") {
			r := Report{Sender: domain.Host(fmt.Sprint(n))}
			for a := range rapid.IntRange(1, 8).Draw(t, "accounts") {
				u := Usage{Account: simAccount(a), Served: amount.Draw(t, "served"), Refused: amount.Draw(t, "refused"), Waiting: amount.Draw(t, "waiting")}
				weights[u.Account] = 1 + float64(a)
				served[u.Account] += u.Served
				demand[u.Account] += u.Served + u.Refused + u.Waiting
				total += u.Served
				r.Accounts = append(r.Accounts, u)
			}
			p.Add(now, time.Second, r)
		}
		v := p.View(now, func(a domain.Account) float64 { return weights[a] })
		sum, unmet := 0.0, false
		for _, x := range v.Accounts {
			sum += x.Part
			share := x.Part * total
			require.LessOrEqual(t, share, demand[x.Account]*(1+1e-6)+1e-6)
			if x.Over {
				require.Greater(t, served[x.Account], share*(1-1e-6), "%s is over", x.Account)
			}
			unmet = unmet || !x.Over && demand[x.Account] > served[x.Account]
		}
		if total > 1 {
			require.InDelta(t, 1, sum, 1e-6)
		}
		for _, x := range v.Accounts {
			require.False(t, x.Over && !unmet, "nobody else lacks anything")
		}
	})
}

// Guards against an account that stays limited after the others have what they ask for, and
// against an entry that stopped while requests waited at it.
func TestOverShareEndsWithTheContention(t *testing.T) {
	var p Pool
	weight := func(domain.Account) float64 { return 1 }
	now := time.Unix(1000, 0)
	p.Add(now, 0, Report{Sender: "a", Accounts: []Usage{{Account: "heavy", Served: 90}, {Account: "light", Served: 10, Waiting: 5}}})
	require.Equal(t, []Part{{"heavy", 0.85, true}, {"light", 0.15, false}}, p.View(now, weight).Accounts)
	later := p.View(now.Add(contentionWindow+time.Millisecond), weight)
	require.False(t, later.Accounts[0].Over)
	require.InDelta(t, 0.9, later.Accounts[0].Part, 1e-9, "nothing waits any more")
}

// Guards against an entry that goes by a view of the fleet that is no longer true, when it
// reaches no owner.
func TestViewFades(t *testing.T) {
	var f Fleet
	now := time.Unix(1000, 0)
	_, changed := f.Update(now, View{Accounts: []Part{{"heavy", 0.1, true}}, AgeMS: 500})
	require.True(t, changed)
	last := 1.0
	for age := 500 * time.Millisecond; age < FadeEnd; age += 100 * time.Millisecond {
		effect := f.Over(now.Add(age-500*time.Millisecond), "heavy")
		require.LessOrEqual(t, effect, last)
		require.Positive(t, effect)
		last = effect
	}
	require.Zero(t, f.Over(now.Add(FadeEnd-500*time.Millisecond), "heavy"))
	require.Zero(t, f.OverCount(now.Add(FadeEnd)))
	f.Update(now, View{AgeMS: 900})
	require.Positive(t, f.Over(now, "heavy"), "an older view replaces none")
}

// Guards against messages whose size grows with the number of accounts or entries.
func TestMessagesAreBounded(t *testing.T) {
	var m Meter
	var p Pool
	now := time.Unix(1000, 0)
	for n := range 1000 {
		m.Started(m.Arrived(now, simAccount(n), n, 1+float64(n)))
	}
	r, ok := m.Take(now)
	require.True(t, ok)
	require.Len(t, r.Accounts, MaxAccounts)
	require.Equal(t, simAccount(999), r.Accounts[0].Account, "the largest sums are reported")
	_, ok = m.Take(now)
	require.False(t, ok)
	for n := range 100 {
		r.Sender = domain.Host(fmt.Sprint(n))
		r.Accounts = []Usage{{Account: simAccount(2 * n), Served: 1}, {Account: simAccount(2*n + 1), Served: 1}}
		p.Add(now, 0, r)
	}
	require.Len(t, p.View(now, func(domain.Account) float64 { return 1 }).Accounts, MaxAccounts)
	require.Equal(t, 100, p.SenderCount(now))
	require.Zero(t, p.SenderCount(now.Add(2*minSenderExpiry)))
}

// Guards against a message of another entry that makes sums negative, infinite or NaN.
func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"accounts":[{"account":"a","served":1e12,"waiting":3,"refused":4}],"ranks":[{"rank":1,"asked":3,"oldest_ms":7}]}`))
	f.Add([]byte(`{"accounts":[{"account":"a","served":-1}]}`))
	f.Add([]byte(`{"accounts":[{"account":"a","served":1e308},{"account":"a","served":1e308}]}`))
	f.Add([]byte(`{"accounts":[{"account":"b"}],"ranks":[{"rank":-1},{"rank":99999999}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var r Report
		if json.Unmarshal(text, &r) != nil || r.Check(func(a domain.Account) bool { return a == "a" }) != nil {
			return
		}
		var p Pool
		now := time.Unix(1000, 0)
		for range 3 {
			p.Add(now, time.Second, r)
		}
		v := p.View(now, func(domain.Account) float64 { return 2 })
		for _, x := range v.Accounts {
			require.Equal(t, domain.Account("a"), x.Account)
			require.False(t, math.IsNaN(x.Part) || x.Part < 0 || x.Part > 1+1e-6, x)
		}
		_, err := json.Marshal(v)
		require.NoError(t, err)
	})
}

// Guards against messages that pass the check with what no entry sends.
func TestCheckRejectsInvalidReports(t *testing.T) {
	known := func(a domain.Account) bool { return a == "a" }
	for _, r := range []Report{
		{Accounts: []Usage{{Account: "b"}}}, {Accounts: []Usage{{}}},
		{Accounts: []Usage{{Account: "a", Served: -1}}}, {Accounts: []Usage{{Account: "a", Waiting: math.NaN()}}},
		{Accounts: []Usage{{Account: "a", Refused: 2e12}}}, {Accounts: make([]Usage, maxListed+1)},
		{Ranks: []RankUsage{{Rank: -1}}}, {Ranks: []RankUsage{{OldestMS: math.Inf(1)}}}, {Ranks: make([]RankUsage, maxListed+1)},
	} {
		require.Error(t, r.Check(known))
	}
	require.NoError(t, Report{Accounts: []Usage{{Account: "a", Served: 1}}}.Check(known))
}
