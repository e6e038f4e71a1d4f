package roster

import (
	"errors"
	"fmt"
	"strconv"
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

// Guards against a confirmed time that starts anew with the deletion of an entry which the directory had seen although it
// was no member any more, or never one.
func TestDeletionOfASeenEntryLeavesNoGap(t *testing.T) {
	odd := feed.Item[Server]{Name: "b", DecodeErr: errors.New("odd")}
	for name, c := range map[string]struct {
		listed  []feed.Item[Server]
		prepare func(*Directory, time.Time)
	}{
		"changed to one that cannot be decoded": {[]feed.Item[Server]{item("b", false)}, func(r *Directory, now time.Time) {
			r.Apply(now, []feed.Change[Server]{{Item: odd}})
		}},
		"added and cannot be decoded":  {nil, func(r *Directory, now time.Time) { r.Apply(now, []feed.Change[Server]{{Item: odd}}) }},
		"listed and cannot be decoded": {[]feed.Item[Server]{odd}, func(*Directory, time.Time) {}},
		"replaced at its address": {[]feed.Item[Server]{item("b", false)}, func(r *Directory, _ time.Time) {
			r.InstanceReplaced(r.Upstream("b"))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Directory{Log: hclog.NewNullLogger(), MaxGap: 3 * time.Second}
			start := time.Now()
			at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
			r.SetAll(at(0), c.listed)
			r.RegistryConfirmed(at(1))
			c.prepare(r, at(2))
			r.RegistryConfirmed(at(2))
			r.Apply(at(3), deletion("b"))
			r.RegistryConfirmed(at(3))
			require.Equal(t, at(1), r.Confirmed().Since)
			r.Apply(at(4), deletion("b"))
			r.RegistryConfirmed(at(4))
			require.Equal(t, at(4), r.Confirmed().Since, "came and left unseen")
		})
	}
}

// Guards against names that fill the memory, and against the deletion of an entry beyond the bound that counts as seen.
func TestListedNamesAreBounded(t *testing.T) {
	r := &Directory{Log: hclog.NewNullLogger(), MaxGap: time.Hour}
	now := time.Now()
	r.SetAll(now, nil)
	r.RegistryConfirmed(now)
	for n := range maxListed + 1 {
		r.Apply(now, []feed.Change[Server]{{Item: feed.Item[Server]{Name: strconv.Itoa(n), DecodeErr: errors.New("odd")}}})
	}
	require.Len(t, r.listed, maxListed)
	r.Apply(now, deletion(strconv.Itoa(maxListed)))
	r.RegistryConfirmed(now.Add(time.Second))
	require.Equal(t, now.Add(time.Second), r.Confirmed().Since)
}
