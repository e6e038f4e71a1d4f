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

// Guards against a lower priority that yields without need, or that is left with nothing.
func TestPressureOfHigherPriorities(t *testing.T) {
	now := time.Unix(1000, 0)
	target := func(int) time.Duration { return time.Second }
	steps := func(rank int, all ...RankUsage) int {
		var f Fleet
		f.Update(now, View{Ranks: all})
		return f.Pressure(now, rank, target).Steps
	}
	calm, low, lowest := RankUsage{Asked: 10}, RankUsage{Rank: 3, Asked: 10, Refused: 2}, RankUsage{Rank: 9, Asked: 10}
	require.Zero(t, steps(3, calm, low, lowest))
	require.Equal(t, 1, steps(9, calm, low, lowest), "only higher priorities count")
	refused, waits := RankUsage{Asked: 10, Refused: 1}, RankUsage{Asked: 10, Waiting: 1, OldestMS: 251}
	for _, x := range []RankUsage{refused, waits} {
		require.Equal(t, []int{0, 1, 2}, []int{steps(0, x, low, lowest), steps(3, x, low, lowest), steps(9, x, low, lowest)})
	}
	waits.OldestMS = 250
	require.Zero(t, steps(3, waits, low, lowest))
	lowest.Asked = 1.5
	require.Zero(t, steps(9, refused, low, lowest), "a tenth of the capacity stays")
}

// Guards against messages whose size grows with the number of accounts.
func TestMessagesAreBounded(t *testing.T) {
	var m Meter
	var p Pool
	now := time.Unix(1000, 0)
	for n := range 1000 {
		m.Started(m.Arrived(now, simAccount(n), n, 1+float64(n)))
	}
	r, _ := m.Take(now)
	require.Len(t, r.Accounts, MaxAccounts)
	require.Equal(t, simAccount(999), r.Accounts[0].Account, "the largest sums are reported")
	r.Accounts = make([]Usage, 2*MaxAccounts)
	for n := range r.Accounts {
		r.Accounts[n] = Usage{Account: simAccount(n), Served: 1}
	}
	p.Add(now, 0, r)
	require.Len(t, p.View(now, func(domain.Account) float64 { return 1 }).Accounts, MaxAccounts)
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
