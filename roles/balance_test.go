package roles_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/fence"
	"jacinthworks/roles"
)

// fleet runs a planner once a second for the engines of one model, which change role at once.
type fleet struct {
	planner   roles.Planner
	roles     []domain.Role
	lastToken fence.Token
	now       time.Time
	orders    int
}

func newFleet(prefill, decode int) *fleet {
	f := &fleet{planner: roles.Planner{Timing: roles.TimingFor(6 * time.Second)}, now: time.Now()}
	for range prefill {
		f.roles = append(f.roles, domain.RolePrefill)
	}
	for range decode {
		f.roles = append(f.roles, domain.RoleDecode)
	}
	return f
}

func (f *fleet) count(r domain.Role) int {
	n := 0
	for _, role := range f.roles {
		if role == r {
			n++
		}
	}
	return n
}

// run plans for the given seconds at constant demands, in engines kept busy.
func (f *fleet) run(seconds int, prefill, decode float64) {
	pool := func(r domain.Role) roles.Pool { return roles.Pool{Model: "m", Role: r} }
	for range seconds {
		f.now = f.now.Add(time.Second)
		v := roles.View{Demand: map[roles.Pool]float64{pool(domain.RolePrefill): prefill, pool(domain.RoleDecode): decode}}
		for n, r := range f.roles {
			v.Engines = append(v.Engines, roles.Engine{Host: domain.Host(fmt.Sprint(n)), Pool: pool(r)})
		}
		next := func(time.Time) (fence.Token, error) { f.lastToken++; return f.lastToken, nil }
		for _, o := range f.planner.Plan(f.now, v, next) {
			var n int
			_, _ = fmt.Sscan(string(o.Host), &n)
			f.roles[n] = o.To.Role
			f.orders++
		}
	}
}

// Guards against pools that stay unequal because neither is above HighWatermark: the memory
// of the decode engines is nearly full while prefill engines are half idle, and the next burst
// is refused.
func TestPlanBalancesRolesBelowHighWatermark(t *testing.T) {
	f := newFleet(4, 5)
	f.run(10, 1.3, 3.6)
	require.Equal(t, 6, f.count(domain.RoleDecode))
	f.run(120, 1.3, 3.6)
	require.Equal(t, 6, f.count(domain.RoleDecode), "one more would give prefill the higher pressure")
	require.Equal(t, 1, f.orders)
}

func TestPlanMovesAtMostHalfOfALargePool(t *testing.T) {
	f := newFleet(16, 28)
	f.run(10, 4, 24)
	require.Equal(t, 36, f.count(domain.RoleDecode), "half of the prefill engines move, and the others stay at half of their capacity")
	f.run(60, 4, 24)
	require.Less(t, 24/float64(f.count(domain.RoleDecode)), 0.67, "the pressures are balanced in the end")
	require.GreaterOrEqual(t, f.count(domain.RolePrefill), 5, "prefill keeps engines")
}

// Guards against changes that follow a load which shifts every few seconds: the engines would
// be out of service for most of the time.
func TestPlanMovesFewEnginesWhenLoadAlternates(t *testing.T) {
	f := newFleet(4, 5)
	for range 30 {
		f.run(4, 3, 2)
		f.run(4, 1, 4)
	}
	require.LessOrEqual(t, f.orders, 8, "orders in 240 s")
	require.GreaterOrEqual(t, f.count(domain.RolePrefill), 1)
	require.GreaterOrEqual(t, f.count(domain.RoleDecode), 1)
}

func TestPlanWithoutLoadOrSpareEngineMovesNothing(t *testing.T) {
	f := newFleet(4, 5)
	f.run(60, 0, 0)
	require.Zero(t, f.orders)
	single := newFleet(1, 5)
	single.run(60, 0.1, 4.9)
	require.Equal(t, 1, single.count(domain.RolePrefill), "the last engine of a role stays")
}

// Guards against an imbalance that is checked again only after a whole second although Hold is
// a tenth of one: with a burst five seconds after the load begins, engines would be back in
// service a second late, during the burst.
func TestNextBalanceIsDueAfterHold(t *testing.T) {
	f := newFleet(44, 73)
	_, pending := f.planner.NextBalance(f.now)
	require.False(t, pending)
	f.run(1, 3, 26)
	require.Zero(t, f.orders)
	left, pending := f.planner.NextBalance(f.now)
	require.True(t, pending)
	require.Equal(t, 100*time.Millisecond, left)
	f.now = f.now.Add(left - time.Second)
	f.run(1, 3, 26)
	require.Greater(t, f.orders, 10)
	f.run(1, 3, 26)
	_, pending = f.planner.NextBalance(f.now)
	require.False(t, pending, "pools in their cool-down are not considered")
}

// Guards against a planner that runs while no requests come, here for 13 seconds after a
// deployment starts. Its smoothed demand then rises late, while a planner that starts with the
// load gives orders at its second plan.
func TestPlanAfterIdleSamplesOrdersLater(t *testing.T) {
	plansUntilOrder := func(idle int) int {
		f := newFleet(44, 73)
		f.run(idle, 0, 0)
		n := 0
		for ; f.orders == 0 && n < 10; n++ {
			f.run(1, 0.7, 2.6)
		}
		return n
	}
	require.Equal(t, 2, plansUntilOrder(0))
	require.Greater(t, plansUntilOrder(13), 2)
}
