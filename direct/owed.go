package direct

import (
	"sync"
	"time"

	"jacinthworks/domain"
	"jacinthworks/owed"
	"jacinthworks/roster"
)

// owedBooks has the streams of each service that are owed an end. The zero value is ready to use; it must not be
// copied.
type owedBooks struct {
	mu        sync.Mutex // leaf lock: no other lock is acquired while it is held
	byService map[domain.Service]*owed.Book
}

// of returns the book of a service.
func (o *owedBooks) of(v domain.Service) *owed.Book {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byService == nil {
		o.byService = make(map[domain.Service]*owed.Book)
	}
	if o.byService[v] == nil {
		o.byService[v] = &owed.Book{}
	}
	return o.byService[v]
}

// owedStream describes the stream of a request that is bound to a software version.
func (s *Server) owedStream(r *request) owed.Stream {
	o := owed.Stream{ID: r.streamID(), Software: *r.software, Until: r.deadline}
	if o.ID == "" {
		o.ID = r.id
	}
	if r.service.HasEngines() {
		o.Tokens = r.expectedTokens()
	}
	return o
}

// awaitOwed records that a request waits for room if its stream has begun.
func (s *Server) awaitOwed(r *request) {
	if r.software != nil {
		s.owed.of(r.service.Name).Wait(time.Now(), s.owedStream(r))
	}
}

// settleOwed records that a stream that has begun got its room.
func (s *Server) settleOwed(r *request) {
	if r.software != nil {
		s.owed.of(r.service.Name).Settle(s.owedStream(r).ID)
	}
}

// endOwed records that a request without a whole answer has ended, whose stream may be resumed.
func (s *Server) endOwed(r *request, f *failure) {
	if r.software == nil {
		return
	}
	back := time.Duration(0) // the caller of a stream that breaks off comes back at once
	if !r.responseBegun {
		var told bool
		if back, told = r.retryAfter(f); !told || f.ran != domain.NotRun {
			s.settleOwed(r)
			return
		}
	}
	s.owed.of(r.service.Name).Return(s.owedStream(r), time.Now().Add(back))
}

// keptRoom returns the software versions at whose upstreams of a role the request leaves room for a stream, and how much
// memory that needs. A request that is bound to a version leaves none.
func (s *Server) keptRoom(r *request, among pool) map[domain.Software]int {
	book := s.owed.of(r.service.Name)
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
