package direct

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/meter"
	"jacinthworks/resp"
	"jacinthworks/retry"
	"jacinthworks/roster"
	"jacinthworks/send"
)

// probeTimeout bounds the dial that tells a crashed upstream from a broken connection: a
// live upstream accepts within milliseconds.
const probeTimeout = 300 * time.Millisecond

// A probe whose connection is accepted and then breaks is repeated: an upstream that is crashing breaks
// that connection too. probeTries bounds the probes, and probePause is the time between two.
const (
	probeTries = 3
	probePause = 20 * time.Millisecond
)

// crashBatchDelay is how long further crashes are collected for one notice.
const crashBatchDelay = 300 * time.Millisecond

// noticeRetryInterval is the pause before a notice is written again that could not be written, and
// maxNoticeDelay how long that is tried: other entries can be asked for the evidence meanwhile.
const (
	noticeRetryInterval = 2 * time.Second
	maxNoticeDelay      = 2 * time.Minute
)

// announceCrashes passes on to the other entries which upstreams crashed while they ran requests of
// this one, and writes it to the store.
//
// A request that crashes each upstream may be sent again by its caller to a different entry
// each time. Each entry would see only one crash, and no entry would block the request.
func (s *Server) announceCrashes() {
	s.background("announce crashes", maxNoticeDelay, func(ctx context.Context) error {
		first := s.crashes.Observed()
		s.spreadEvidence(ctx, first)
		group.Sleep(ctx, crashBatchDelay)
		evidence := s.crashes.TakeNotice()
		if !reflect.DeepEqual(first, evidence) {
			s.spreadEvidence(ctx, evidence)
		}
		if s.Notices == nil || s.Records == nil {
			return nil
		}
		name := crashNoticePrefix + string(s.Settings.Name)
		for !s.writeNotice(ctx, name, Notice{By: s.Settings.Name, Evidence: evidence}) && ctx.Err() == nil {
			group.Sleep(ctx, noticeRetryInterval)
			evidence = s.crashes.TakeNotice()
		}
		return nil
	})
}

// mergeCrashes merges the evidence of another entry into that of this one. Evidence in the name of
// this entry is what an earlier start of it saw.
func (s *Server) mergeCrashes(by domain.Host, evidence retry.Record) {
	now := s.evidenceTime()
	s.reportOmitted(by, evidence.Omitted)
	if len(evidence.Deaths)+len(evidence.SoundParts) == 0 {
		return
	}
	if by == s.Settings.Name {
		s.crashes.Restore(evidence.Plausible(now))
	}
	if !s.crashes.Ledger.Merge(now, evidence) {
		return
	}
	var newest domain.Host
	if len(evidence.Deaths) > 0 {
		newest = evidence.Deaths[0].Upstream
	}
	s.Log.Info("crash notice received", "by", by, "deaths", len(evidence.Deaths), "newest", newest, "sound_parts", len(evidence.SoundParts))
	s.countEvidence("notice")
	s.logBlockedParts()
	if s.crashes.Ledger.HasUntoldSound(now) {
		s.tellSoundParts()
	}
}

// reportOmitted counts and logs what was left out of a notice or of evidence.
func (s *Server) reportOmitted(by domain.Host, omitted int) {
	if omitted > 0 {
		s.Meter.Add("jacinthworks_omitted_elements_total", nil, omitted)
		s.Log.Warn("notice or evidence partly left out", "by", by, "elements", omitted)
	}
}

// checkCrash checks, in the background, whether the upstream of a failed attempt has crashed, and
// records the requests that it ran if so. A planned stop is no evidence against them.
//
// A request that crashes each upstream that runs it, and that its caller sends again, takes down one
// upstream after the other. A failed connection alone is weak evidence, since responses also get
// lost; that nothing accepts new connections is strong evidence, and so is another start at the
// address, since an upstream may have restarted by the time of the check.
//
// An upstream whose host is lost may also fall silent. The same holds for one that is only slow or
// cut off, so that after silence an unanswered dial is no evidence.
func (s *Server) checkCrash(r *request, a *attempt, how attemptEnd) {
	if a.upstream.IsLeaving() {
		return
	}
	first, done := s.crashes.BeginCheck(a.start.Key())
	r.crashChecks = append(r.crashChecks, done)
	if !first {
		return
	}
	f := failedAttempt{upstream: a.upstream, start: a.start, request: r.id, work: r.work.Identity.LogName(), parts: r.info.PromptParts, how: how, failedAt: s.evidenceTime()}
	s.background("check for a crash", 2*probeTimeout, func(ctx context.Context) error {
		err := s.probeInstance(ctx, f.upstream, f.start)
		s.crashes.EndCheck(f.failedAt, f.start.Key(), func(d retry.Death) {
			if err != nil && (how == broken || !isTimeout(err)) {
				s.recordDeath(f, d, err)
				return
			}
			s.Log.Info("no crash found", "upstream", f.start.ID, "request", f.request, "after", how, "err", err)
			s.countEvidence("not_found")
			s.awaitRestart(f, d)
		})
		return nil
	})
}

// failedAttempt is what a check for a crash needs of an attempt: the check may outlast the request,
// and must not keep its body in memory.
type failedAttempt struct {
	upstream *roster.Upstream
	start    roster.Start
	request  domain.RequestID
	work     string
	parts    []string
	how      attemptEnd
	failedAt time.Time
}

// attemptEnd is how an attempt ended without a response.
type attemptEnd string

// The ends of attempts after which a crash is checked for.
const (
	// broken: the connection failed.
	broken attemptEnd = "broken_connection"
	// silent: nothing came within the time of the attempt.
	silent attemptEnd = "silence"
)

// isTimeout reports whether a dial was neither accepted nor refused in time.
func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &n) && n.Timeout()
}

// restartNoticeTime is how long an upstream that restarted under its ID may take to register.
const restartNoticeTime = 5 * time.Second

var (
	// errRestarted is the error of a probe of an upstream of which a later start is known.
	errRestarted = errors.New("direct: probing an upstream: a later start has replaced it")
	// errRemoved is the error of a probe of an upstream that is in no registry any more.
	errRemoved = errors.New("direct: probing an upstream: the registry has removed it")
)

// awaitRestart records, in the background, a crash that the check did not show: an upstream that
// keeps its ID when it restarts is known by its next registration, and any other by the next
// response of its successor.
func (s *Server) awaitRestart(f failedAttempt, d retry.Death) {
	s.background("await restart", restartNoticeTime, func(ctx context.Context) error {
		select {
		case <-f.upstream.Restarted():
			s.recordDeath(f, d, errRestarted)
		case <-ctx.Done():
		}
		return nil
	})
}

// recordDeath records that an upstream has crashed while it ran some requests, and notifies the
// other entries.
func (s *Server) recordDeath(f failedAttempt, d retry.Death, cause error) {
	d.Upstream, d.Incarnation = domain.Host(f.start.ID), incarnationOf(f.start)
	s.Log.Info("upstream died", "upstream", f.start.ID, "born", f.start.Born, "request", f.request, "work", f.work, "parts", f.parts, "after", f.how, "running", len(d.Running), "prompts", len(d.Prompts), "err", cause)
	s.countEvidence("died")
	s.roster.RecordCrash(time.Now(), f.upstream)
	if s.crashes.RecordDeath(d) {
		s.announceCrashes()
	}
	s.logBlockedParts()
}

// probeState calls an upstream for its state over a connection of its own.
func (s *Server) probeState(ctx context.Context, u *roster.Upstream) (body []byte, status int, err error) {
	q := s.Protocol.StateRequest()
	q.NewConn = true
	return s.callUpstream(ctx, u, q, probeTimeout)
}

// errProbeMalformed is the error of a probe that was answered by bytes that are no response.
var errProbeMalformed = errors.New("direct: probing an upstream: its answer is malformed")

// probeInstance returns an error if the start of an upstream has ended: if nothing accepts
// connections at its address, or another start does. Malformed answers are no evidence of that.
func (s *Server) probeInstance(ctx context.Context, u *roster.Upstream, start roster.Start) error {
	if err := s.probeAnswer(ctx, u, start); !errors.Is(err, errProbeMalformed) {
		return err
	}
	return nil
}

// probeAnswer is like probeInstance, and returns errProbeMalformed for malformed answers.
func (s *Server) probeAnswer(ctx context.Context, u *roster.Upstream, start roster.Start) error {
	body, status, err := s.probeState(ctx, u)
	for n := 1; n < probeTries && send.StageOf(err) == send.Broken; n++ {
		group.Sleep(ctx, probePause)
		body, status, err = s.probeState(ctx, u)
	}
	switch {
	case errors.Is(err, errNotAccepting) && u.Removed():
		return errRemoved
	case errors.Is(err, errNotAccepting):
		return dialUpstream(ctx, u.Server().Addr)
	case errors.Is(err, errMisdirected), send.StageOf(err) == send.NotSent:
		return err
	case resp.PartOf(err) != "":
		return errProbeMalformed
	case err != nil || status != http.StatusOK:
		return nil // it accepts connections, and does not state its start
	}
	if state, err := s.Protocol.ParseState(body); err == nil && !state.StartedAt.IsZero() && !start.Born.IsZero() && !state.StartedAt.Equal(start.Born) {
		return errRestarted
	}
	return nil
}

// confirmEnd returns an error if the upstream of a response that was framed by its connection has
// ended with it, or is not sound. One that leaves as planned ends its responses before it stops accepting.
func (s *Server) confirmEnd(ctx context.Context, r *request, a *attempt) error {
	var err error
	if a.upstream.IsLeaving() || a.upstream.Removed() {
		err = dialUpstream(ctx, a.upstream.Server().Addr)
	} else {
		err = s.probeAnswer(ctx, a.upstream, a.start)
	}
	if err != nil {
		s.Log.Info("end of a response not confirmed", "request", r.id, "upstream", a.start.ID, "leaving", a.upstream.IsLeaving(), "err", err)
	}
	return err
}

// awaitCrashChecks waits until the checks of whether the request's failed attempts were crashes are
// over, if their outcome may block the request.
func (s *Server) awaitCrashChecks(ctx context.Context, r *request) {
	now := s.evidenceTime()
	suspected := s.crashes.Ledger.Suspicion(now, r.work.Identity) != retry.Clear || s.crashes.Ledger.IsPartSuspected(now, r.work.Parts)
	if !suspected && len(r.crashChecks) < retry.CrashLimit {
		return
	}
	for _, done := range r.crashChecks {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
	r.crashChecks = nil
}

// logSuspicion logs what is known of an accepted request that ran when upstreams crashed.
func (s *Server) logSuspicion(r *request) {
	if deaths := s.crashes.Ledger.DeathsWith(s.evidenceTime(), r.work.Identity); deaths > 0 {
		s.Log.Info("request ran when upstreams crashed", "request", r.id, "work", r.work.Identity.LogName(),
			"suspicion", s.crashes.Ledger.Suspicion(s.evidenceTime(), r.work.Identity), "deaths", deaths)
	}
}

// refuseCrashing returns the failure of a request that is blocked, nil for any other. It is called
// when a request is accepted, and again before each send: while the request waits, or is attempted
// elsewhere, evidence against it may arrive.
func (s *Server) refuseCrashing(r *request) *failure {
	if s.isBlockedByPart(r) {
		return &failure{ran: domain.NotRun, reason: domain.ReasonCrashes, detail: "upstreams died running requests with a part of its prompt", final: true}
	}
	if s.crashes.Ledger.Suspicion(s.evidenceTime(), r.work.Identity) != retry.Blocked {
		return nil
	}
	s.countEvidence("blocked")
	return &failure{ran: domain.NotRun, reason: domain.ReasonCrashes, detail: "upstreams died running it", final: true}
}

// recordSurvival records that an upstream ran a request to its end.
func (s *Server) recordSurvival(r *request, a *attempt) {
	if a.answersWithSuccess() {
		s.recordSoundParts(r)
	}
	if s.crashes.Ledger.RecordSurvival(s.evidenceTime(), r.work.Identity) {
		s.Log.Info("crash evidence cleared", "request", r.id, "work", r.work.Identity.LogName(), "upstream", a.start.ID, "stage", a.info.Stage)
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
