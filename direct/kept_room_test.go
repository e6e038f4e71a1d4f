package direct

import (
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/feed"
	"jacinthworks/paths"
	"jacinthworks/roster"
	"jacinthworks/route"
)

// newVersionedPool returns a server that knows upstreams of a service with the given role and software versions, each with
// two slots.
func newVersionedPool(role domain.Role, versions ...domain.Software) *Server {
	s := &Server{Log: hclog.NewNullLogger()}
	s.init()
	var all []feed.Item[roster.Server]
	for n, v := range versions {
		id := strconv.Itoa(n)
		all = append(all, feed.Item[roster.Server]{Name: id, Value: roster.Server{Start: roster.Start{ID: roster.ID(id)}, Service: "m", Role: role, Software: v, Slots: 2}})
	}
	s.roster.SetAll(time.Now(), all)
	return s
}

func newStreamRequest(service *paths.Service, software *domain.Software) *request {
	now := time.Now()
	return &request{
		id: "r", info: RequestInfo{PromptTokens: 3000}, route: &paths.Route{Kind: paths.Stream}, service: service, software: software,
		accepted: now, firstSent: now, deadline: now.Add(10 * time.Second), random: newRandom(),
	}
}

// Guards against new streams that fill the last upstreams of a version on which resumed streams depend, while others have
// room, at engines and at plain upstreams.
func TestNewStreamsLeaveTheVersionOfResumedOnes(t *testing.T) {
	old := domain.Software("v1")
	for role, service := range map[domain.Role]*paths.Service{
		domain.RoleDecode: {Name: "m", Engine: paths.Engine{TokensPerEvent: 1, KVTokens: 40_000}}, "": {Name: "m"},
	} {
		t.Run("role "+string(role), func(t *testing.T) {
			s := newVersionedPool(role, old, "v2", "v2")
			load := route.Request{Units: 1, SkipExcluded: role != ""}
			place := func(software *domain.Software) placement {
				r := newStreamRequest(service, software)
				return s.place(r, pool{role: role, software: r.software}, load)
			}
			resumed := newStreamRequest(service, &old)
			s.awaitResumed(resumed)
			for range 20 {
				require.Equal(t, domain.Software("v2"), place(nil).upstream.Server().Software)
				require.Equal(t, old, place(&old).upstream.Server().Software)
			}
			now := time.Now()
			for _, u := range s.roster.Upstreams("m") {
				if u.Server().Software == old {
					continue
				}
				u.Stats.ExcludeUntil(now.Add(time.Minute))
				u.Stats.RequestStarted(roster.Cost{})
				u.Stats.RequestStarted(roster.Cost{})
			}
			p := place(nil)
			require.Equal(t, old, p.upstream.Server().Software, "the others are full")
			require.Equal(t, s.resumedStream(resumed).Tokens, p.kept)
			if role == "" {
				p.upstream.Stats.RequestStarted(roster.Cost{})
				require.Equal(t, domain.Software("v2"), place(nil).upstream.Server().Software, "the last slot is kept")
			}
			s.settleResumed(resumed)
			require.Eventually(t, func() bool { return place(nil).kept == 0 && !s.resumed.of("m").Any() }, 3*time.Second, 10*time.Millisecond, "nothing is kept when the stream goes on")
		})
	}
}

// Guards against room that is not kept for a stream whose caller was told to come back, and against room that is kept for one
// that can't go on.
func TestRoomIsKeptForRefusedStreamsThatMayComeBack(t *testing.T) {
	old := domain.Software("v1")
	for name, c := range map[string]struct {
		failure failure
		begun   bool
		kept    bool
	}{
		"refused":          {failure: failure{ran: domain.NotRun, reason: domain.ReasonNoRoom}, kept: true},
		"version unknown":  {failure: failure{ran: domain.NotRun, reason: domain.ReasonNoUpstream, permanent: true}},
		"may have run":     {failure: failure{ran: domain.Unknown, reason: domain.ReasonNoRoom}},
		"caller gone":      {failure: failure{ran: domain.DidRun, reason: domain.ReasonCallerGone}, begun: true},
		"deadline passed":  {failure: failure{ran: domain.NotRun, reason: domain.ReasonDeadline}},
		"broken off again": {failure: failure{ran: domain.DidRun, reason: domain.ReasonUpstream}, begun: true, kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newVersionedPool("", old, "v2")
			r := newStreamRequest(&paths.Service{Name: "m"}, &old)
			s.awaitResumed(r)
			r.responseBegun = c.begun
			s.endResumed(r, &c.failure)
			book, back := s.resumed.of("m"), r.accepted.Add(900*time.Millisecond)
			require.Equal(t, c.kept, len(book.Keep(back, true)) > 0)
			require.Empty(t, book.Keep(back, false), "it does not wait")
		})
	}
}
