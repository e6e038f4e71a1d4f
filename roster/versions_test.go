package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/feed"
)

// Guards against a stream that continues at the only version left although its own was removed moments ago.
func TestHistoryHoldsVersionsOfMembersThatLeft(t *testing.T) {
	versioned := func(id string, v domain.Software) feed.Item[Server] {
		i := item(id, false)
		i.Value.Software = v
		return i
	}
	r := &Directory{Log: hclog.NewNullLogger()}
	now := time.Now()
	require.Equal(t, History{}, r.History(now, "cards", time.Minute))
	r.SetAll(now, []feed.Item[Server]{versioned("a", "v1"), versioned("b", "v2")})
	r.Apply(now, deletion("a"))
	r.Apply(now, []feed.Change[Server]{{Item: versioned("b", "v3")}})
	require.Equal(t, History{Versions: []domain.Software{"v1", "v2", "v3"}, Current: true}, r.History(now, "cards", time.Minute))
	later := time.Now().Add(time.Hour)
	r.RegistryLost(later)
	h := r.History(later, "cards", time.Minute)
	require.Equal(t, []domain.Software{"v3"}, h.Versions)
	require.False(t, h.Current)
	require.GreaterOrEqual(t, h.Since, time.Hour)
	for n := range 2 * maxPastVersions {
		r.Apply(now, []feed.Change[Server]{{Item: versioned("b", domain.Software(fmt.Sprint(n)))}})
	}
	require.Len(t, r.pastVersions["cards"], maxPastVersions)
}
