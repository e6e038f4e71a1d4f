package direct

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/assign"
	"jacinthworks/conf"
	"jacinthworks/domain"
	"jacinthworks/feed"
	"jacinthworks/meter"
	"jacinthworks/paths"
	"jacinthworks/relay"
	"jacinthworks/roster"
	"jacinthworks/route"
	"jacinthworks/speed"
)

var engineBorn = time.UnixMilli(1_700_000_000_000).UTC()

func engineStart(n int) roster.Start {
	return roster.Start{ID: roster.ID(fmt.Sprint("e-", n)), Born: engineBorn}
}

// newSpeedServer returns an entry that knows engines of one role of the service "model".
func newSpeedServer(role domain.Role, engines int) *Server {
	s := &Server{Log: hclog.NewNullLogger(), Meter: &meter.Registry{}}
	live := conf.Direct{HardLoad: conf.HardLoad{Speeds: conf.On}}
	s.liveSettings.Store(&live)
	s.roster.Log = s.Log
	s.peers.fleet.Self = "self"
	s.config.Update(time.Now(), &paths.Config{Version: 1, Services: []paths.Service{{Name: "model", Engine: paths.Engine{KVTokens: 30000}}}})
	var all []feed.Item[roster.Server]
	for n := range engines {
		all = append(all, engineItem(role, engineStart(n)))
	}
	s.roster.SetAll(time.Now(), all)
	return s
}

func engineItem(role domain.Role, start roster.Start) feed.Item[roster.Server] {
	return feed.Item[roster.Server]{Name: string(start.ID), Value: roster.Server{Start: start, Service: "model", Role: role, Addr: netip.MustParseAddrPort("127.0.0.1:9")}}
}

// recordSpeeds records three prompts or answers at each of the first engines; one in three is
// slow.
func recordSpeeds(s *Server, role domain.Role, engines int, now time.Time) {
	for n := range engines {
		took := 40 * time.Millisecond
		if n%3 == 0 {
			took = 92 * time.Millisecond
		}
		for i := range 3 {
			s.speeds.pool("model", role).Record(now.Add(time.Duration(i-3)*time.Second), engineStart(n).Key(), speed.Observation{Units: 1, Took: took})
		}
	}
}

// Guards against an entry that starts without knowing which engines are slow although others
// know, and against an estimate that outlives the process that it is about.
func TestStartingEntryLearnsFromPeersUntilAnEngineRestarts(t *testing.T) {
	peer := newSpeedServer(domain.RoleDecode, 9)
	recordSpeeds(peer, domain.RoleDecode, 9, time.Now())
	server := httptest.NewServer(http.HandlerFunc(peer.serveSpeeds))
	defer server.Close()
	earlier := httptest.NewServer(http.NotFoundHandler())
	defer earlier.Close()
	s := newSpeedServer(domain.RoleDecode, 8)
	s.Settings.PeerListen = netip.MustParseAddrPort("127.0.0.1:1")
	var members []relay.Member
	for n, h := range []*httptest.Server{server, earlier} {
		members = append(members, relay.Member{Name: domain.Host(fmt.Sprint("entry-", n)), Addr: netip.MustParseAddrPort(h.Listener.Addr().String()), Cores: 1})
	}
	s.peers.fleet.SetMembers(members, true)
	s.learnSpeedsAtStart(t.Context())
	factor, observations := s.relativeTime("model", domain.RoleDecode, engineStart(0))
	require.InDelta(t, 2.3, factor, 0.01)
	require.Equal(t, 3, observations)
	factor, observations = s.relativeTime("model", domain.RoleDecode, engineStart(8))
	require.Equal(t, 1.0, factor, "unknown to this entry's registry")
	require.Zero(t, observations)
	require.Empty(t, s.ownSpeeds(time.Now())["model"][domain.RoleDecode], "merged estimates are not passed on")

	restarted := engineStart(0)
	restarted.Born = restarted.Born.Add(time.Minute)
	s.roster.Apply(time.Now(), []feed.Change[roster.Server]{{Item: engineItem(domain.RoleDecode, restarted)}})
	s.mergeSpeeds(time.Now(), s.fetchAllSpeeds(t.Context(), s.peers.fleet.OtherPeers(2)))
	factor, observations = s.relativeTime("model", domain.RoleDecode, restarted)
	require.Equal(t, 1.0, factor)
	require.Zero(t, observations)
}

// Guards against streams at slow engines while fast ones are free, and against a placement by
// speed where it is switched off.
func TestAnswersArePlacedAtFastEnginesOnlyIfSpeedsAreOn(t *testing.T) {
	s := newSpeedServer(domain.RoleDecode, 9)
	recordSpeeds(s, domain.RoleDecode, 9, time.Now())
	r := &request{service: s.config.Current().Service("model"), random: newRandom()}
	slowPlaced := func() (count int) {
		for range 100 {
			p := s.place(r, pool{role: domain.RoleDecode, preferredZone: ""}, route.Request{SkipExcluded: true, Units: 1, AnswerUnits: 70})
			if p.candidate.AnswerUnitTime > 50*time.Millisecond || p.candidate.Name == "e-0" {
				count++
			}
		}
		return count
	}
	require.Zero(t, slowPlaced())
	s.liveSettings.Store(&conf.Direct{HardLoad: conf.HardLoad{Speeds: conf.Off}})
	require.Positive(t, slowPlaced())
}

// Guards against a tracker that sends prompts to slow engines: it learns from the ends of the
// prompts that it assigned, and impossible figures change nothing.
func TestTrackerLearnsSpeedsFromEndedPrompts(t *testing.T) {
	s := newSpeedServer(domain.RolePrefill, 3)
	call := assignRequest{Shard: assign.Shard{Service: "model", Count: 1}, Tokens: 3000, Timeout: time.Second}
	for range 12 {
		a, ok := s.handleAssign(call)
		require.True(t, ok)
		took, stated := 75.0, 0.7
		if a.Engine == "e-0" {
			took, stated = 180, 1.7 // all the time: not a load of the host
		}
		end := assignmentEnd{Shard: call.Shard, Ticket: a.Ticket, OK: true, Took: took, HostLoad: stated}
		bad := end
		bad.Took = -1
		_, ok = s.handleAssignEnd(bad)
		require.False(t, ok)
		_, ok = s.handleAssignEnd(end)
		require.True(t, ok)
	}
	for range 6 {
		a, _ := s.handleAssign(call)
		require.Equal(t, 25*time.Microsecond, a.PerToken)
		_, _ = s.handleAssignEnd(assignmentEnd{Shard: call.Shard, Ticket: a.Ticket})
	}
}

// FuzzDecodeSpeeds guards against messages of other entries that change estimates although
// they are malformed, or that lead to impossible estimates.
func FuzzDecodeSpeeds(f *testing.F) {
	peer := newSpeedServer(domain.RoleDecode, 3)
	recordSpeeds(peer, domain.RoleDecode, 3, time.Now())
	good, err := json.Marshal(peer.ownSpeeds(time.Now()))
	require.NoError(f, err)
	f.Add(string(good))
	const one = `{"model":{"decode":[{"id":"e-0","born":"2023-11-14T22:13:20Z","unit_us":%s,"count":%s,"age_ms":%s}]}}`
	for n := range 3 {
		for _, figure := range []string{"-1", "1e13", "1e300", "NaN", "0", "1e12", "1e-300"} {
			figures := []any{"9", "9", "1"}
			figures[n] = figure
			body := fmt.Sprintf(one, figures...)
			_, invalid, err := peer.decodeSpeeds([]byte(body))
			require.Equal(f, figure != "0" && figure != "1e12" && figure != "1e-300", err != nil || invalid == 1, body)
			f.Add(body)
		}
	}
	long := `{"model":{"decode":[` + strings.Repeat(`{"id":"a"},`, maxPeerList) + `{"id":"a"}]}}`
	for _, body := range []string{`[]`, `{"other":{"decode":[]}}`, `{"model":{"cook":[]}}`, `{"model":{"decode":[{"id":""}]}}`, long} {
		_, invalid, err := peer.decodeSpeeds([]byte(body))
		require.True(f, err != nil || invalid == 1, body)
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body string) {
		s := newSpeedServer(domain.RoleDecode, 3)
		found, _, err := s.decodeSpeeds([]byte(body))
		if err != nil {
			require.Nil(t, found)
			return
		}
		s.mergeSpeeds(time.Now(), []peerSpeeds{found})
		for n := range 3 {
			factor, observations := s.relativeTime("model", domain.RoleDecode, engineStart(n))
			require.True(t, factor > 0 && factor < 1e300, factor)
			require.GreaterOrEqual(t, observations, 0)
			d, ok := s.speeds.pool("model", domain.RoleDecode).UnitTime(time.Now(), engineStart(n).Key())
			require.True(t, !ok || d > 0, d)
		}
	})
}

// Guards against one odd estimate of another entry, or a service that is not known here yet, that discards all
// its others.
func TestOddEstimateDiscardsNoOther(t *testing.T) {
	const sound = `{"id":"e-1","born":"2023-11-14T22:13:20Z","unit_us":9,"count":9,"age_ms":1}`
	for _, odd := range []string{
		`{"id":"e-0","unit_us":-1}`, `{"id":7}`, `{"id":"e-0","born":"9999-12-31T24:00:00Z"}`, `7`, strings.Repeat("[", 20000) + strings.Repeat("]", 20000), "{\"id\":\"\x00\"}",
	} {
		for _, body := range []string{
			`{"model":{"decode":[` + odd + `,` + sound + `]}}`,
			`{"model":{"decode":[` + sound + `],"cook":[` + odd + `]}}`,
			`{"other":{"decode":[` + odd + `]},"model":{"decode":[` + sound + `]}}`,
		} {
			found, invalid, err := newSpeedServer(domain.RoleDecode, 3).decodeSpeeds([]byte(body))
			require.NoError(t, err, "%.80s", body)
			require.Equal(t, 1, invalid, "%.80s", body)
			require.Len(t, found["model"][domain.RoleDecode], 1, "%.80s", body)
		}
	}
}

// BenchmarkPlace measures a placement among 640 engines and the record of one observation, with
// the use of speeds and without.
func BenchmarkPlace(b *testing.B) {
	s := newSpeedServer(domain.RoleDecode, 640)
	recordSpeeds(s, domain.RoleDecode, 640, time.Now())
	r := &request{service: s.config.Current().Service("model"), random: newRandom()}
	for _, mode := range []conf.Mode{conf.Off, conf.On} {
		b.Run(string(mode), func(b *testing.B) {
			s.liveSettings.Store(&conf.Direct{HardLoad: conf.HardLoad{Speeds: mode}})
			b.ReportAllocs()
			for b.Loop() {
				s.recordSpeed("model", domain.RoleDecode, engineStart(1), speed.Observation{Units: 8, Took: 320 * time.Millisecond})
				s.place(r, pool{role: domain.RoleDecode, preferredZone: ""}, route.Request{SkipExcluded: true, Units: 1, AnswerUnits: 70})
			}
		})
	}
}
