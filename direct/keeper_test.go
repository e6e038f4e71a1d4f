package direct

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/relay"
)

// Story: the host that counts for an account is taken away for good. Each second one
// request of each entry waited for its answer in vain, and plain calls were late by it.
// After the first no request waits: it is tried beside them, and asked when it answers.
func TestALostKeeperHoldsUpOneRequest(t *testing.T) {
	var k keepers
	p, other := &relay.Peer{}, &relay.Peer{}
	now := time.Now()
	ask, try := k.use(now, p)
	require.True(t, ask)
	require.False(t, try)
	k.lose(now, p)
	tries := 0
	for at := time.Duration(0); at < 20*time.Second; at += 50 * time.Millisecond {
		ask, try := k.use(now.Add(at), p)
		require.False(t, ask)
		if try {
			tries++
		}
	}
	require.InDelta(t, 19, tries, 1)
	ask, _ = k.use(now, other)
	require.True(t, ask, "the others are asked")
	k.regain(p)
	ask, _ = k.use(now.Add(21*time.Second), p)
	require.True(t, ask)
	k.lose(now, p)
	k.lose(now.Add(2*keeperForgotten), other)
	require.Len(t, k.lost, 1, "what nobody asks for any more is forgotten")
}

// Guards against an entry that leaves and goes on counting beside the one that the others
// go to.
func TestAnEntryThatLeavesAsksTheOthersFirst(t *testing.T) {
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `"other"`)
	}))
	defer other.Close()
	s := &Server{Log: hclog.NewNullLogger()}
	s.peers.fleet.Self = "entry-0"
	members := []relay.Member{
		{Name: "entry-0", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Cores: 1},
		{Name: "entry-1", Addr: other.Listener.Addr().(*net.TCPAddr).AddrPort(), Cores: 1},
	}
	s.peers.fleet.Set(members, true)
	own := func(bool) string { return "own" }
	ask := func(key string) string {
		a, _, ok := askKeeper(t.Context(), s, key, limitPath, 2, nil, own)
		require.True(t, ok)
		return a
	}
	var key string // one that this entry keeps
	for n := 0; key == ""; n++ {
		if k := fmt.Sprint("key-", n); ask(k) == "own" {
			key = k
		}
	}
	s.leaving.Store(true)
	require.Equal(t, "other", ask(key))
	other.Close()
	require.Equal(t, "own", ask(key), "none other answers")
}
