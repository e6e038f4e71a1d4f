package direct

import (
	"sync"
	"time"

	"jacinthworks/domain"
	"jacinthworks/resume"
	"jacinthworks/roster"
)

// resumeBooks has the streams of each service that are resumed or expected to be. The zero value is ready to use; it must not be
// copied.
type resumeBooks struct {
	mu        sync.Mutex // leaf lock: no other lock is acquired while it is held
	byService map[domain.Service]*resume.Book
}

// of returns the book of a service.
func (o *resumeBooks) of(v domain.Service) *resume.Book {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byService == nil {
		o.byService = make(map[domain.Service]*resume.Book)
	}
	if o.byService[v] == nil {
		o.byService[v] = &resume.Book{}
	}
	return o.byService[v]
}

// resumedStream describes the stream of a request that is bound to a software version.
func (s *Server) resumedStream(r *request) resume.Stream {
	o := resume.Stream{ID: r.streamID(), Software: *r.software, Until: r.deadline}
	if o.ID == "" {
		o.ID = r.id
	}
	if r.service.HasEngines() {
		o.Tokens = r.expectedTokens()
	}
	return o
}

// awaitResumed records that a request waits for room if its stream has begun.
func (s *Server) awaitResumed(r *request) {
	if r.software != nil {
		s.resumed.of(r.service.Name).Wait(time.Now(), s.resumedStream(r))
	}
}

// settleResumed records that a stream that has begun got its room.
func (s *Server) settleResumed(r *request) {
	if r.software != nil {
		s.resumed.of(r.service.Name).Settle(s.resumedStream(r).ID)
	}
}

// endResumed records that a request without a whole answer has ended, whose stream may be resumed.
func (s *Server) endResumed(r *request, f *failure) {
	if r.software == nil {
		return
	}
	// A caller that has given up does not come back.
	if f.reason == domain.ReasonCallerGone || f.reason == domain.ReasonDeadline {
		s.settleResumed(r)
		return
	}
	back := time.Duration(0) // the caller of a stream that breaks off comes back at once
	if !r.responseBegun {
		var told bool
		if back, told = r.retryAfter(f); !told || f.ran != domain.NotRun {
			s.settleResumed(r)
			return
		}
	}
	s.resumed.of(r.service.Name).Return(s.resumedStream(r), time.Now().Add(back))
}

// keptRoom returns the software versions at whose upstreams of a role the request leaves room for a stream, and how much
// memory that needs. A request that is bound to a version leaves none.
func (s *Server) keptRoom(r *request, among pool) map[domain.Software]int {
	book := s.resumed.of(r.service.Name)
	if r.begun() || among.software != nil || !book.Any() {
		return nil
	}
	now, versions := time.Now(), make(map[domain.Software]bool)
	for _, u := range s.roster.Upstreams(r.service.Name) {
		if m := u.Server(); m.Role == among.role && r.mayUse(m, nil) && s.mayBegin(r, m) && u.Eligibility(now).Eligible() {
			versions[m.Software] = true
		}
	}
	return book.Keep(now, len(versions) > 1)
}

// passOver keeps the request away from an upstream for a moment.
func (r *request) passOver(u *roster.Upstream, until time.Time) {
	if r.passedUntil == nil {
		r.passedUntil = make(map[roster.InstanceKey]time.Time)
	}
	r.passedUntil[u.Server().Key()] = until
}
