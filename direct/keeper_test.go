package direct

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/relay"
)

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
	s.peers.fleet.SetMembers(members, true)
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
