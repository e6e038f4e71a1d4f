package side

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/claim"
)

// Guards against two owners of a shard at the start of a service: a member whose runners answer
// slowly takes its shards over, and the others do not hear of it before they do so themselves.
func TestTakeoversAreAnnouncedBeforeRunnersAnswer(t *testing.T) {
	s := &Side{Log: hclog.NewNullLogger()}
	s.Settings.Name = "app-1"
	s.init()
	record := claim.Record{Generation: claim.Generation{Version: 1, Members: []claim.Member{
		{Host: "app-1", Zone: "a", Incarnation: s.incarnation}, {Host: "app-2", Zone: "b", Incarnation: 1}, {Host: "app-3", Zone: "c", Incarnation: 1},
	}}}
	now := time.Now()
	_, err := s.claims.ledger.Apply(record, now)
	require.NoError(t, err)
	s.takeOverShards(t.Context(), now)
	s.takeOverShards(t.Context(), now.Add(firstOwnerDelay))
	owned := s.claims.ledger.OwnedShards()
	require.NotEmpty(t, owned)
	require.Equal(t, owned, s.claims.announcedShards)
}
