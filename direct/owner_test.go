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

// Guards against a draining entry that goes on counting beside the owner that the others
// call.
func TestCallOwnerPrefersOtherOwnersWhileDraining(t *testing.T) {
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
	local := func(bool) string { return "own" }
	call := func(key string) string {
		a, _, ok := callOwner(t.Context(), s, key, limitPath, 2, nil, local)
		require.True(t, ok)
		return a
	}
	var key string // a key that this entry owns
	for n := 0; key == ""; n++ {
		if k := fmt.Sprint("key-", n); call(k) == "own" {
			key = k
		}
	}
	s.draining.Store(true)
	require.Equal(t, "other", call(key))
	other.Close()
	require.Equal(t, "own", call(key), "no other owner answers")
}
