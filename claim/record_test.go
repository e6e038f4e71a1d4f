package claim

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRankedAndEligibleFollowZones(t *testing.T) {
	f := newFleet(t, 9)
	for s := Shard(0); s < Shards; s++ {
		ranked := f.record.Ranked(s)
		require.Len(t, ranked, 9)
		require.NotEqual(t, ranked[0].Zone, ranked[1].Zone)
		eligible := f.record.Eligible(s)
		require.Len(t, eligible, 6)
		require.NotContains(t, eligible, ranked[0].Process())
	}
	g := Generation{Members: []Member{{"a", "z", 1}, {"b", "z", 1}}}
	require.Equal(t, []Process{g.Ranked(0)[1].Process()}, g.Eligible(0))
	g.Members = g.Members[:1]
	require.Equal(t, []Process{{"a", 1}}, g.Eligible(0))
	require.Empty(t, Generation{}.Eligible(0))
}

func TestRankedMovesOnlyShardsOfRemovedMember(t *testing.T) {
	f := newFleet(t, 9)
	fewer := Generation{Members: f.record.Members[:8]}
	for s := Shard(0); s < Shards; s++ {
		if was := f.record.Ranked(s)[0]; was != f.record.Members[8] {
			require.Equal(t, was, fewer.Ranked(s)[0])
		}
	}
}

func TestRecordCheckReportsAllFindings(t *testing.T) {
	record := Record{Generation: Generation{Members: []Member{{"a", "", 1}, {"a", "z", 1}}},
		PastGenerations: []Generation{{Version: 3}}}
	err := record.Check()
	for _, place := range []string{"version:", "members[0]:", "members[1]:", "past[0]:"} {
		require.ErrorContains(t, err, place)
	}
}

func TestLedgerApplyIgnoresOlderRecord(t *testing.T) {
	f := newFleet(t, 3)
	old := f.record
	f.restart("side-1")
	out, err := f.ledgers["side-0"].Apply(old, f.now)
	require.NoError(t, err)
	require.Empty(t, out)
	require.Equal(t, uint64(2), f.ledgers["side-0"].Record().Version)
}

func TestHandoverJSONRoundTrip(t *testing.T) {
	in := Handover{Shard: 3, FromEpoch: Epoch{4, 0}, Epoch: Epoch{4, 1}, Heir: Process{"b", 2},
		Entries: []ListedKey{{Key: testKey, Attempt: testAttempt(1), Body: 1 << 63, Runner: Process{"c", 1}, State: StateRan, Age: 5}}}
	text, err := json.Marshal(in)
	require.NoError(t, err)
	require.Contains(t, string(text), `"state":"ran"`)
	var out Handover
	require.NoError(t, json.Unmarshal(text, &out))
	require.Equal(t, in, out)
	var s State
	require.Error(t, s.UnmarshalText([]byte("maybe")))
}
