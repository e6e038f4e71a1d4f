package direct

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/meter"
	"jacinthworks/retry"
	"jacinthworks/roster"
)

// probeTimeout bounds the dial that tells a crashed upstream from a broken connection: a
// live upstream accepts within milliseconds.
const probeTimeout = 300 * time.Millisecond

// crashBatchDelay is how long crashes are collected for one notice: the requests of a
// crashed upstream fail one after the other.
const crashBatchDelay = 300 * time.Millisecond

// announceCrashes notifies the other entries of the upstreams that crashed while they ran
// requests of this one.
//
// A request that crashes each upstream may be sent again by its caller to a different entry
// each time. Each entry would see only one crash, and no entry would block the request.
func (s *Server) announceCrashes() {
	if s.Notices == nil || s.Records == nil {
		return
	}
	s.background("announce crashes", crashBatchDelay+2*storeTimeout, func(ctx context.Context) error {
		group.Sleep(ctx, crashBatchDelay)
		s.writeNotice(ctx, crashNoticePrefix+string(s.Settings.Name), Notice{By: s.Settings.Name, Evidence: s.crashes.TakeNotice()})
		return nil
	})
}

// mergeCrashes merges the crashes that another entry saw into the evidence of this entry.
func (s *Server) mergeCrashes(now time.Time, n Notice) {
	if len(n.Evidence.Deaths) == 0 || n.By == s.Settings.Name {
		return
	}
	s.crashes.Ledger.Merge(now, n.Evidence)
	s.countEvidence("notice")
	s.Log.Info("crash notice received", "by", n.By, "deaths", len(n.Evidence.Deaths), "newest", n.Evidence.Deaths[0].Upstream)
}

// checkCrash dials, in the background, an upstream that broke a connection, and records the
// requests that it ran if it has crashed.
//
// A request that crashes each upstream that runs it, and that its caller sends again, takes
// down one upstream after the other. A broken connection alone is weak evidence, since
// responses also get lost; an upstream that refuses new connections as well has crashed.
func (s *Server) checkCrash(r *request, a *attempt) {
	ids := s.crashes.RunningOn(a.start.Key(), r, r.identity)
	addr := a.upstream.Server().Addr
	s.background("probe upstream", 2*probeTimeout, func(ctx context.Context) error {
		err := dialUpstream(ctx, addr)
		if err == nil && !a.upstream.Restarted() {
			s.Log.Info("upstream alive after a broken connection", "upstream", a.start.ID, "request", r.id, "stage", a.info.Stage)
			s.countEvidence("alive")
			return nil
		}
		s.countEvidence("died")
		if s.crashes.RecordDeath(retry.Death{Upstream: domain.Host(a.start.ID), Incarnation: incarnationOf(a.start), Time: time.Now(), Running: ids}) {
			s.announceCrashes()
		}
		s.Log.Info("upstream died", "upstream", a.start.ID, "born", a.start.Born, "request", r.id, "work", r.identity.LogName(), "running", len(ids), "err", err)
		return nil
	})
}

// logSuspicion logs what is known of an accepted request that ran when upstreams crashed.
func (s *Server) logSuspicion(r *request) {
	if deaths := s.crashes.Ledger.DeathsWith(r.identity); deaths > 0 {
		s.Log.Info("request ran when upstreams crashed", "request", r.id, "work", r.identity.LogName(),
			"suspicion", s.crashes.Ledger.Suspicion(r.accepted, r.identity), "deaths", deaths)
	}
}

// refuseCrashing returns the failure of a request that is blocked, nil for any other. It is called
// when a request is accepted, and again before each send: while the request waits, or is attempted
// elsewhere, evidence against it may arrive.
func (s *Server) refuseCrashing(r *request) *failure {
	if s.crashes.Ledger.Suspicion(time.Now(), r.identity) != retry.Blocked {
		return nil
	}
	s.countEvidence("blocked")
	return &failure{ran: domain.NotRun, reason: domain.ReasonCrashes, detail: "upstreams died running it", final: true}
}

// recordSurvival records that an upstream ran a request to its end.
func (s *Server) recordSurvival(now time.Time, r *request, a *attempt) {
	if s.crashes.Ledger.RecordSurvival(now, r.identity) {
		s.Log.Info("crash evidence cleared", "request", r.id, "work", r.identity.LogName(), "upstream", a.start.ID, "stage", a.info.Stage)
		s.countEvidence("cleared")
	}
}

// countEvidence counts an event in the evidence of requests that crash upstreams.
func (s *Server) countEvidence(event string) {
	s.Meter.Inc("jacinthworks_crash_evidence_total", meter.Labels{"event", event})
}

// dialUpstream dials an upstream, and returns nil if the connection was accepted.
func dialUpstream(ctx context.Context, addr netip.AddrPort) error {
	d := net.Dialer{Timeout: probeTimeout}
	c, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return errors.Wrap(err, "direct: dialing an upstream")
	}
	return c.Close()
}

// incarnationOf returns a number that identifies a start of an upstream.
func incarnationOf(start roster.Start) domain.Incarnation {
	key := start.Key()
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], xxhash.Sum64String(string(key.ID)+"/"+strconv.FormatInt(key.StartedAtMillis, 10)))
	b[0], b[1] = 0, 0 // JSON numbers are exact only up to 53 bits
	return domain.Incarnation(binary.BigEndian.Uint64(b[:]))
}
