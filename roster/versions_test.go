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
	require.Equal(t, History{Versions: []domain.Software{"v1", "v2", "v3"}}, r.History(now, "cards", time.Minute))
	later := time.Now().Add(time.Hour)
	r.RegistryLost(later)
	h := r.History(later, "cards", time.Minute)
	require.Equal(t, []domain.Software{"v3"}, h.Versions)
	for n := range 2 * maxPastVersions {
		r.Apply(now, []feed.Change[Server]{{Item: versioned("b", domain.Software(fmt.Sprint(n)))}})
	}
	require.Len(t, r.pastVersions["cards"], maxPastVersions)
}

// Guards against a directory that counts as complete although nobody confirmed it, or although changes may have been missed.
func TestDirectoryIsConfirmedOnlyForTheTimeWithoutAGap(t *testing.T) {
	r := &Directory{Log: hclog.NewNullLogger(), MaxGap: 3 * time.Second}
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	confirmed := func(since, until float64) Confirmation { return Confirmation{Since: at(since), Until: at(until)} }
	r.SetAll(at(0), []feed.Item[Server]{item("a", false)})
	require.Zero(t, r.Confirmed(), "the list may be old")
	r.RegistryConfirmed(at(1))
	r.RegistryConfirmed(at(2))
	require.Equal(t, confirmed(1, 2), r.Confirmed())
	r.RegistryConfirmed(at(1.5))
	require.Equal(t, confirmed(1, 2), r.Confirmed(), "what was known stays known")
	r.RegistryLost(at(2.5))
	r.RegistryRecovered(at(4.5))
	require.Equal(t, confirmed(1, 2), r.Confirmed(), "neither is word of the registry")
	r.RegistryConfirmed(at(5.1))
	require.Equal(t, confirmed(5.1, 5.1), r.Confirmed(), "of the gap only the outcome is known")
	r.RegistryConfirmed(at(6))
	r.Apply(at(6), deletion("never-seen"))
	r.RegistryConfirmed(at(7))
	require.Equal(t, confirmed(7, 7), r.Confirmed(), "an entry came and left unseen")
	r.SetAll(at(8), []feed.Item[Server]{item("a", false)})
	r.RegistryConfirmed(at(8))
	require.Equal(t, confirmed(8, 8), r.Confirmed(), "a list has no history")
}
