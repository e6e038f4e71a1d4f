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

const waitLimit = time.Minute // bounds a wait for an event

// process is one member that serves on loopback.
type process struct {
	member.Member
	draining, down atomic.Bool
	stop           func()
}

func startProcess(t *testing.T, h domain.Host, r domain.Role, i domain.Incarnation) *process {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &process{Member: member.Member{
		Host: h, Role: r, Service: "logwriter", Incarnation: i, Address: listener.Addr().(*net.TCPAddr).AddrPort(),
	}}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	local := &wire.Handlers{
		Hello:             wire.Hello{Host: h, Role: string(r), Service: "logwriter", Incarnation: i},
		HeartbeatInterval: 10 * time.Millisecond, HeartbeatTimeout: waitLimit,
		Heartbeat: func() wire.Heartbeat {
			return wire.Heartbeat{Draining: p.draining.Load(), Load: &wire.UpstreamLoad{Down: p.down.Load()}}
		},
	}
	go func() { served <- wire.Serve(ctx, listener, local) }()
	p.stop = func() {
		cancel()
		<-served
		served <- nil
	}
	t.Cleanup(p.stop)
	return p
}

// runDirectory runs a Directory; the channel receives the members passed to OnRemoved.
func runDirectory(t *testing.T) (*Directory, <-chan member.Member) {
	removed := make(chan member.Member, 8)
	d := &Directory{
		Local:     &wire.Handlers{Hello: wire.Hello{Host: "entry-1"}, HeartbeatInterval: 10 * time.Millisecond, HeartbeatTimeout: waitLimit},
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

func recordOf(v infra.Version, all ...*process) member.Record {
	r := member.Record{Service: "logwriter", Version: v}
	for _, p := range all {
		r.Members = append(r.Members, p.Member)
	}
	return r
}

func eventually(t *testing.T, condition func() bool) {
	require.Eventually(t, condition, waitLimit, time.Millisecond)
}

// At a planned stop a member leaves the record first and ends its last requests afterwards.
// An entry that closed the link as soon as the record lacks the member would cut those
// requests.
func TestRemovedMemberKeepsLinkUntilItCloses(t *testing.T) {
	d, removed := runDirectory(t)
	remaining, leaving := startProcess(t, "side-1", domain.RoleDecode, 1), startProcess(t, "side-2", domain.RoleDecode, 2)
	require.True(t, d.Apply(recordOf(1, remaining, leaving)))
	l := d.Find("side-2")
	eventually(t, func() bool { return l.Usable() && d.Find("side-1").Usable() })
	p := l.Peer()

	require.True(t, d.Apply(recordOf(2, remaining)))
	require.False(t, l.Usable(), "no new work")
	d.dropRemoved()
	require.Same(t, l, d.Find("side-2"))
	require.Same(t, p, l.Peer())

	leaving.stop()
	require.Equal(t, leaving.Member, <-removed)
	require.Nil(t, d.Find("side-2"))
	require.True(t, d.Find("side-1").Usable())
}

// A member restarts at another address. If the link were kept because the host's name is
// the same, the member would receive no work, or its old address would.
func TestApplyReplacesLinkOfRestartedMember(t *testing.T) {
	d, _ := runDirectory(t)
	before := startProcess(t, "side-1", domain.RoleApp, 1)
	require.True(t, d.Apply(recordOf(4, before)))
	old := d.Find("side-1")
	eventually(t, old.Usable)
	after := startProcess(t, "side-1", domain.RoleApp, 2)

	require.False(t, d.Apply(recordOf(3, after)), "an older record changes nothing")
	require.False(t, d.Apply(recordOf(4, after)), "a record of the same version changes nothing")
	require.Same(t, old, d.Find("side-1"))
	require.True(t, d.Apply(recordOf(5, after)))
	replacement := d.Find("side-1")
	require.NotSame(t, old, replacement)
	eventually(t, replacement.Usable)
	require.Equal(t, domain.Incarnation(2), replacement.Peer().RemoteHello().Incarnation)
	eventually(t, func() bool { return old.Peer() == nil })

	require.True(t, d.Apply(recordOf(6, after)))
	require.Same(t, replacement, d.Find("side-1"), "a member that stays keeps its connection")
}

// The member's own draining state, its upstream's state and the host list each prevent new
// work. A service can be served only while every role has a usable member.
func TestUsableFollowsMemberUpstreamAndHostList(t *testing.T) {
	d, _ := runDirectory(t)
	prefill, decode := startProcess(t, "side-1", domain.RolePrefill, 1), startProcess(t, "side-2", domain.RoleDecode, 1)
	require.False(t, d.HasEveryRole("logwriter"))
	require.True(t, d.Apply(recordOf(1, prefill, decode)))
	serves := func() bool { return d.HasEveryRole("logwriter") && d.CanServe("logwriter") }
	neither := func() bool { return !d.HasEveryRole("logwriter") && !d.CanServe("logwriter") }
	eventually(t, serves)
	for _, flag := range []*atomic.Bool{&prefill.draining, &decode.down, &d.Find("side-2").HostLeaving} {
		flag.Store(true)
		eventually(t, neither)
		flag.Store(false)
		eventually(t, serves)
	}
	unreachable := member.Member{Host: "side-3", Service: "logwriter", Role: domain.RoleApp, Address: netip.MustParseAddrPort("127.0.0.1:1")}
	d.Dial(unreachable)
	require.False(t, d.Find("side-3").Usable(), "not connected")
}
