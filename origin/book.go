package origin

import (
	"container/list"
	"sync"
	"time"

	"jacinthworks/domain"
)

// MaxRecords bounds the records of a Book. At its bound the oldest record goes, some 150 bytes each.
const MaxRecords = 1 << 16

// Book keeps the origins of streams. The zero value is ready to use; it must not be copied. It is safe
// for concurrent use.
type Book struct {
	mu      sync.Mutex // leaf lock: no other lock is acquired while it is held
	records map[domain.RequestID]*list.Element
	oldest  list.List // of *record, in order of their last change
}

type record struct {
	id      domain.RequestID
	origin  Origin
	expires time.Time
}

// Record records the origin of the stream that the request began, for the given time.
func (b *Book) Record(now time.Time, id domain.RequestID, o Origin, life time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.records == nil {
		b.records = make(map[domain.RequestID]*list.Element)
	}
	if e := b.records[id]; e != nil {
		b.remove(e)
	}
	b.records[id] = b.oldest.PushBack(&record{id: id, origin: o, expires: now.Add(life)})
	for e := b.oldest.Front(); e != nil && (b.oldest.Len() > MaxRecords || !now.Before(e.Value.(*record).expires)); e = b.oldest.Front() {
		b.remove(e)
	}
}

// Find returns the origin of the stream that the request began.
func (b *Book) Find(now time.Time, id domain.RequestID) (Origin, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.records[id]
	if e == nil {
		return Origin{}, false
	}
	r := e.Value.(*record)
	if !now.Before(r.expires) {
		b.remove(e)
		return Origin{}, false
	}
	return r.origin, true
}

// Entry is a record as it is passed on.
type Entry struct {
	Request domain.RequestID `json:"request"`
	Origin  Origin           `json:"origin"`
	// Life is how long the record is kept from now on.
	Life time.Duration `json:"life"`
}

// Newest returns the newest records, at most so many.
func (b *Book) Newest(now time.Time, limit int) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := []Entry{}
	for e := b.oldest.Back(); e != nil && len(all) < limit; e = e.Prev() {
		if r := e.Value.(*record); now.Before(r.expires) {
			all = append(all, Entry{Request: r.id, Origin: r.origin, Life: r.expires.Sub(now)})
		}
	}
	return all
}

// remove removes a record. b.mu must be held.
func (b *Book) remove(e *list.Element) {
	delete(b.records, e.Value.(*record).id)
	b.oldest.Remove(e)
}
