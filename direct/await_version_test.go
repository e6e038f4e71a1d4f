package direct

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/feed"
	"jacinthworks/paths"
	"jacinthworks/roster"
)

// Guards against a stream that is refused as too late, because an upstream of its version that refuses connections counts as one
// that is full; and against one that waits although its upstreams are full, or left as planned.
func TestStreamWaitsOnlyForAVersionOfWhichNoUpstreamMayBeUsed(t *testing.T) {
	now := time.Now()
	version := domain.Software("v1")
	s := &Server{Log: hclog.NewNullLogger()}
	s.roster.Log = s.Log
	entry := roster.Server{Start: roster.Start{ID: "i-1"}, Service: "lm", Role: domain.RoleDecode, Software: version}
	s.roster.SetAll(now, []feed.Item[roster.Server]{{Name: "i-1", Value: entry}})
	u := s.roster.Upstream("i-1")
	r := &request{service: &paths.Service{Name: "lm"}, route: &paths.Route{Resumable: true}, software: &version, deadline: now.Add(300 * time.Millisecond)}
	waits := func(reason domain.Reason) (found bool, waited time.Duration) {
		started := time.Now()
		found = s.awaitVersion(t.Context(), r, domain.RoleDecode, &failure{reason: reason})
		return found, time.Since(started)
	}
	found, waited := waits(domain.ReasonTooLate)
	require.False(t, found, "its upstream is full")
	require.Less(t, waited, restartPoll)

	for range 10 {
		u.Stats.RecordDialFailure(time.Now())
	}
	found, waited = waits(domain.ReasonTooLate)
	require.False(t, found)
	require.Less(t, waited, restartPoll, "no crash is known, after which it may start again")

	s.roster.RecordCrash(time.Now(), u)
	time.AfterFunc(2*restartPoll, func() {
		again := entry
		again.ID = "i-2"
		s.roster.Apply(time.Now(), []feed.Change[roster.Server]{{Item: feed.Item[roster.Server]{Name: "i-2", Value: again}}})
	})
	found, _ = waits(domain.ReasonTooLate)
	require.True(t, found, "it has started again")
}
