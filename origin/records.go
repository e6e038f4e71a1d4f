package origin

import (
	"container/list"
	"sync"
	"time"

	"jacinthworks/domain"
)

// MaxRecords bounds Records. At its bound the oldest record goes, some 150 bytes each.
const MaxRecords = 1 << 16

// Record is the origin of a stream as entries pass it on.
type Record struct {
	// Request is the id of the request that brought the stream's first event.
	Request domain.RequestID `json:"request"`
	Origin  Origin           `json:"origin"`
	// Life is how long the record is kept from now on.
	Life time.Duration `json:"life"`
}

// Records keeps the origins of streams. The zero value is ready to use; it must not be copied. It is safe
// for concurrent use.
type Records struct {
	mu      sync.Mutex // leaf lock: no other lock is acquired while it is held
	records map[domain.RequestID]*list.Element
	oldest  list.List // of *kept, in order of their last change
}

// kept is a record with the time until which it is kept.
type kept struct {
	id      domain.RequestID
	origin  Origin
	expires time.Time
}

// Add adds a record, in place of an earlier one of the same stream.
func (r *Records) Add(now time.Time, a Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.records == nil {
		r.records = make(map[domain.RequestID]*list.Element)
	}
	if e := r.records[a.Request]; e != nil {
		r.remove(e)
	}
	r.records[a.Request] = r.oldest.PushBack(&kept{id: a.Request, origin: a.Origin, expires: now.Add(a.Life)})
	for e := r.oldest.Front(); e != nil && (r.oldest.Len() > MaxRecords || !now.Before(e.Value.(*kept).expires)); e = r.oldest.Front() {
		r.remove(e)
	}
}

// Find returns the origin of the stream that the request began.
func (r *Records) Find(now time.Time, id domain.RequestID) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.records[id]
	if e == nil {
		return Origin{}, false
	}
	k := e.Value.(*kept)
	if !now.Before(k.expires) {
		r.remove(e)
		return Origin{}, false
	}
	return k.origin, true
}

// Newest returns the newest records, at most so many.
func (r *Records) Newest(now time.Time, limit int) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := []Record{}
	for e := r.oldest.Back(); e != nil && len(all) < limit; e = e.Prev() {
		if k := e.Value.(*kept); now.Before(k.expires) {
			all = append(all, Record{Request: k.id, Origin: k.origin, Life: k.expires.Sub(now)})
		}
	}
	return all
}

// remove removes a record. r.mu must be held.
func (r *Records) remove(e *list.Element) {
	delete(r.records, e.Value.(*kept).id)
	r.oldest.Remove(e)
}
