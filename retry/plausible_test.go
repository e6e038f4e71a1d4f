package retry

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

// Guards against evidence of another writer that pushes out the evidence of all others, since its times are
// in the future, or that can't be passed on, since its names are long or its times have no JSON form.
func TestImplausibleEvidenceHidesNoOther(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	long, last := strings.Repeat("x", 900000), time.Date(9999, 12, 31, 23, 59, 59, 999999999, time.UTC)
	var odd Record
	for n := range 2 * MaxSurvivals {
		id := strconv.Itoa(n)
		odd.Deaths = append(odd.Deaths, Death{Upstream: domain.Host("odd-" + id), Time: last})
		odd.Survivals = append(odd.Survivals, Survival{Identity(id), last})
		odd.SoundParts = append(odd.SoundParts, SoundPart{Part("cards/" + id), last})
	}
	for _, d := range []Death{
		{Upstream: domain.Host(long)}, {Upstream: "a", Running: []Identity{Identity(long)}}, {Upstream: "b", Established: []Part{Part(long)}},
		{Upstream: "c", Prompts: []Prompt{{Request: "r", Parts: []Part{Part(long)}}}},
	} {
		d.Time = now
		odd.Deaths = append(odd.Deaths, d)
	}
	odd.Survivals = append(odd.Survivals, Survival{Identity(long), now})
	odd.SoundParts = append(odd.SoundParts, SoundPart{Part(long), now})
	sound := Record{
		Deaths:     []Death{{Upstream: "i-1", Incarnation: 1, Time: now, Running: []Identity{"one"}}},
		Survivals:  []Survival{{"two", now}},
		SoundParts: []SoundPart{{"cards/three", now}},
	}
	for _, order := range [][]Record{{odd, sound}, {sound, odd}} {
		var l Ledger
		for _, r := range order {
			l.Merge(now, r)
		}
		require.Equal(t, sound, l.Record(now))
		text, err := json.Marshal(l.Record(now))
		require.NoError(t, err)
		require.Less(t, len(text), 1000)
	}
}
