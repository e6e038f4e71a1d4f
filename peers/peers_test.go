package peers

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/infra"
	"jacinthworks/member"
	"jacinthworks/wire"
)

const soon = time.Minute // bounds a wait for an event

// process is one member, served on loopback.
type process struct {
	member.Member
	draining, down atomic.Bool
	stop           func()
}

func start(t *testing.T, h domain.Host, r domain.Role, i domain.Incarnation) *process {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &process{Member: member.Member{
		Host: h, Role: r, Service: "logwriter", Incarnation: i, Address: ln.Addr().(*net.TCPAddr).AddrPort(),
	}}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	local := &wire.Handlers{
		Hello:             wire.Hello{Host: h, Role: string(r), Service: "logwriter", Incarnation: i},
		HeartbeatInterval: 10 * time.Millisecond, HeartbeatTimeout: soon,
		Heartbeat: func() wire.Heartbeat {
			return wire.Heartbeat{Draining: p.draining.Load(), Load: &wire.Load{Down: p.down.Load()}}
		},
	}
	go func() { served <- wire.Serve(ctx, ln, local) }()
	p.stop = func() {
		cancel()
		<-served
		served <- nil
	}
	t.Cleanup(p.stop)
	return p
}

// directory runs one; the channel tells of members that were let go.
func directory(t *testing.T) (*Directory, <-chan member.Member) {
	removed := make(chan member.Member, 8)
	d := &Directory{
		Local:     &wire.Handlers{Hello: wire.Hello{Host: "entry-1"}, HeartbeatInterval: 10 * time.Millisecond, HeartbeatTimeout: soon},
		OnRemoved: func(m member.Member) { removed <- m },
	}
	ctx, cancel := context.WithCancel(context.Background())
	ran := make(chan error, 1)
	go func() { ran <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ran)
	})
	return d, removed
}

func record(v infra.Version, all ...*process) member.Record {
	r := member.Record{Service: "logwriter", Version: v}
	for _, p := range all {
		r.Members = append(r.Members, p.Member)
	}
	return r
}

func eventually(t *testing.T, what func() bool) {
	require.Eventually(t, what, soon, time.Millisecond)
}

// The story: a planned stop cuts an inspector's summary in the middle. Its hall
// server leaves the record first and ends its last requests after. The cause
// would be an entry that hangs up on a member as soon as the record lacks it.
func TestMemberThatLeftKeepsItsLinkUntilItCloses(t *testing.T) {
	d, removed := directory(t)
	stays, leaves := start(t, "side-1", domain.RoleDecode, 1), start(t, "side-2", domain.RoleDecode, 2)
	require.True(t, d.Apply(record(1, stays, leaves)))
	l := d.Find("side-2")
	eventually(t, func() bool { return l.Usable() && d.Find("side-1").Usable() })
	p := l.Peer()

	require.True(t, d.Apply(record(2, stays)))
	require.False(t, l.Usable(), "no new work")
	d.sweep()
	require.Same(t, l, d.Find("side-2"))
	require.Same(t, p, l.Peer())

	leaves.stop()
	require.Equal(t, leaves.Member, <-removed)
	require.Nil(t, d.Find("side-2"))
	require.True(t, d.Find("side-1").Usable())
}

// The story: a hall server restarts at another address and gets no work, or its
// old address does. The cause would be a link that is kept by the host's name.
func TestRestartedMemberReplacesItsLink(t *testing.T) {
	d, _ := directory(t)
	before := start(t, "side-1", domain.RoleApp, 1)
	require.True(t, d.Apply(record(4, before)))
	old := d.Find("side-1")
	eventually(t, old.Usable)
	after := start(t, "side-1", domain.RoleApp, 2)

	require.False(t, d.Apply(record(3, after)), "an older record changes nothing")
	require.False(t, d.Apply(record(4, after)), "nor does the same version")
	require.Same(t, old, d.Find("side-1"))
	require.True(t, d.Apply(record(5, after)))
	fresh := d.Find("side-1")
	require.NotSame(t, old, fresh)
	eventually(t, fresh.Usable)
	require.Equal(t, domain.Incarnation(2), fresh.Peer().RemoteHello().Incarnation)
	eventually(t, func() bool { return old.Peer() == nil })

	require.True(t, d.Apply(record(6, after)))
	require.Same(t, fresh, d.Find("side-1"), "a member that stays keeps its connection")
}

// A side's own word, its upstream's state and the host list each keep new work
// away, and a service is served only while every role has a usable side.
func TestUsable(t *testing.T) {
	d, _ := directory(t)
	prefill, decode := start(t, "side-1", domain.RolePrefill, 1), start(t, "side-2", domain.RoleDecode, 1)
	require.False(t, d.HasEveryRole("logwriter"))
	require.True(t, d.Apply(record(1, prefill, decode)))
	serves := func() bool { return d.HasEveryRole("logwriter") && d.CanServe("logwriter") }
	neither := func() bool { return !d.HasEveryRole("logwriter") && !d.CanServe("logwriter") }
	eventually(t, serves)
	for _, word := range []*atomic.Bool{&prefill.draining, &decode.down, &d.Find("side-2").Leaving} {
		word.Store(true)
		eventually(t, neither)
		word.Store(false)
		eventually(t, serves)
	}
	nobody := member.Member{Host: "side-3", Service: "logwriter", Role: domain.RoleApp, Address: netip.MustParseAddrPort("127.0.0.1:1")}
	d.Dial(nobody)
	require.False(t, d.Find("side-3").Usable(), "not connected")
}
