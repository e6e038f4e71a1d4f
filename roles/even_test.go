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

// fleet plans once a second for a model's engines, which change at once.
type fleet struct {
	planner roles.Planner
	roles   []domain.Role
	number  fence.Token
	now     time.Time
	orders  int
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

// run plans for so many seconds at the given demands, in engines kept busy.
func (f *fleet) run(seconds int, prefill, decode float64) {
	pool := func(r domain.Role) roles.Pool { return roles.Pool{Model: "m", Role: r} }
	for range seconds {
		f.now = f.now.Add(time.Second)
		v := roles.View{Demand: map[roles.Pool]float64{pool(domain.RolePrefill): prefill, pool(domain.RoleDecode): decode}}
		for n, r := range f.roles {
			v.Engines = append(v.Engines, roles.Engine{Host: domain.Host(fmt.Sprint(n)), Pool: pool(r)})
		}
		next := func(time.Time) (fence.Token, error) { f.number++; return f.number, nil }
		for _, o := range f.planner.Plan(f.now, v, next) {
			var n int
			_, _ = fmt.Sscan(string(o.Host), &n)
			f.roles[n] = o.To.Role
			f.orders++
		}
	}
}

// Story: the memory of the decode engines is nearly full while prefill engines
// are half idle. No pool is beyond what calls for help at once, and the next
// burst is refused.
func TestRolesAreEvenedOut(t *testing.T) {
	f := newFleet(4, 5)
	f.run(10, 1.3, 3.6)
	require.Equal(t, 6, f.count(domain.RoleDecode))
	f.run(120, 1.3, 3.6)
	require.Equal(t, 6, f.count(domain.RoleDecode), "another would make prefill the fuller one")
	require.Equal(t, 1, f.orders)
}

func TestALargePoolChangesAPartAtOnce(t *testing.T) {
	f := newFleet(16, 28)
	f.run(10, 4, 24)
	require.Equal(t, 36, f.count(domain.RoleDecode), "half of the prefill engines: the others are at half of what they can")
	f.run(60, 4, 24)
	require.Less(t, 24/float64(f.count(domain.RoleDecode)), 0.67, "no pool is fuller than it has to be")
	require.GreaterOrEqual(t, f.count(domain.RolePrefill), 5, "they are not all taken")
}

// Story: the load turns every few seconds. Engines that follow it are away for
// most of the time.
func TestALoadThatTurnsMovesLittle(t *testing.T) {
	f := newFleet(4, 5)
	for range 30 {
		f.run(4, 3, 2)
		f.run(4, 1, 4)
	}
	require.LessOrEqual(t, f.orders, 8, "orders in 240 s")
	require.GreaterOrEqual(t, f.count(domain.RolePrefill), 1)
	require.GreaterOrEqual(t, f.count(domain.RoleDecode), 1)
}

func TestWithoutLoadNothingMoves(t *testing.T) {
	f := newFleet(4, 5)
	f.run(60, 0, 0)
	require.Zero(t, f.orders)
	lone := newFleet(1, 5)
	lone.run(60, 0.1, 4.9)
	require.Equal(t, 1, lone.count(domain.RolePrefill), "the last of a role stays")
}

// Story: a load begins, and a burst follows five seconds later. Pools that are seen
// uneven need a second look after a tenth of a second, and the next one comes after a
// whole one: the engines are back a second later than they could be, in the burst.
func TestTheSecondLookIsDueWhenThePoolsHaveBeenUnevenLongEnough(t *testing.T) {
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
	require.False(t, pending, "the pools have to settle first")
}

// Story: a deployment starts, and for thirteen seconds nobody asks. A planner that has
// seen this believes the load late; one that begins with the load gives its orders
// with its second look.
func TestAPlannerThatSawIdleEnginesOrdersLater(t *testing.T) {
	looks := func(idle int) int {
		f := newFleet(44, 73)
		f.run(idle, 0, 0)
		n := 0
		for ; f.orders == 0 && n < 10; n++ {
			f.run(1, 0.7, 2.6)
		}
		return n
	}
	require.Equal(t, 2, looks(0))
	require.Greater(t, looks(13), 2)
}
