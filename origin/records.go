package origin

import (
	"container/list"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"jacinthworks/domain"
)

const (
	// MaxRecords bounds Records. At its bound the oldest record goes, some 200 bytes each.
	MaxRecords = 1 << 16
	// Shards is the number of parts of the records, each of which is one record in the store with an owner
	// of its own.
	Shards = 8
)

// Key identifies a stream in the records. Callers choose the ids of requests, so it is a part of a
// cryptographic hash.
type Key uint64

// KeyOf returns the key of the stream that a request began.
func KeyOf(id domain.RequestID) Key {
	sum := sha256.Sum256([]byte(id))
	return Key(binary.BigEndian.Uint64(sum[:]))
}

// Shard is the part of the records to which the stream belongs.
func (k Key) Shard() int { return int(k % Shards) }

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
	records map[Key]*list.Element
	oldest  list.List // of *kept, in order of their last change
	// changed holds the shards with records that TakeChanged has not reported.
	changed [Shards]bool
}

// kept is a record with the time until which it is kept.
type kept struct {
	key Key
	// id is empty if the record is from the store, which has keys only.
	id             domain.RequestID
	origin         Origin
	added, expires time.Time
}

// Add adds a record, in place of an earlier one of the same stream.
func (r *Records) Add(now time.Time, a Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := KeyOf(a.Request)
	r.put(now, &kept{key: k, id: a.Request, origin: a.Origin, added: now, expires: now.Add(a.Life)})
	r.changed[k.Shard()] = true
}

// Merge adds the records of a shard in the store that are not known, each for the given life.
func (r *Records) Merge(now time.Time, s Shard, life time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range s.Groups {
		for _, k := range g.Keys {
			if r.records[k] == nil {
				r.put(now, &kept{key: k, origin: g.Origin, added: now, expires: now.Add(life)})
			}
		}
	}
}

// put adds a record, and removes what has expired or is beyond the bound. r.mu must be held.
func (r *Records) put(now time.Time, k *kept) {
	if r.records == nil {
		r.records = make(map[Key]*list.Element)
	}
	if e := r.records[k.key]; e != nil {
		r.remove(e)
	}
	r.records[k.key] = r.oldest.PushBack(k)
	for e := r.oldest.Front(); e != nil && (r.oldest.Len() > MaxRecords || !now.Before(e.Value.(*kept).expires)); e = r.oldest.Front() {
		r.remove(e)
	}
}

// Find returns the origin of the stream that the request began.
func (r *Records) Find(now time.Time, id domain.RequestID) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.records[KeyOf(id)]
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

// Newest returns the newest records whose requests are known, at most so many.
func (r *Records) Newest(now time.Time, limit int) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := []Record{}
	for e := r.oldest.Back(); e != nil && len(all) < limit; e = e.Prev() {
		if k := e.Value.(*kept); k.id != "" && now.Before(k.expires) {
			all = append(all, Record{Request: k.id, Origin: k.origin, Life: k.expires.Sub(now)})
		}
	}
	return all
}

// MarkChanged makes TakeChanged report all shards.
func (r *Records) MarkChanged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range r.changed {
		r.changed[n] = true
	}
}

// TakeChanged reports whether a shard has records that were added since the last call.
func (r *Records) TakeChanged(shard int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.changed[shard]
	r.changed[shard] = false
	return was
}

// RestoreChanged makes TakeChanged report a shard again, which was not written.
func (r *Records) RestoreChanged(shard int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed[shard] = true
}

// Shard returns the newest records of a shard for the store: those added within the given time, of the
// services for which include returns true. dropped counts those beyond MaxShardRecords.
func (r *Records) Shard(now time.Time, shard int, within time.Duration, include func(domain.Service) bool) (s Shard, dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	groups := make(map[Origin]int)
	count := 0
	for e := r.oldest.Back(); e != nil; e = e.Prev() {
		k := e.Value.(*kept)
		if k.key.Shard() != shard || now.Sub(k.added) > within || !include(k.origin.Service) {
			continue
		}
		if count++; count > MaxShardRecords {
			dropped++
			continue
		}
		n, known := groups[k.origin]
		if !known {
			n = len(s.Groups)
			groups[k.origin] = n
			s.Groups = append(s.Groups, Group{Origin: k.origin})
		}
		s.Groups[n].Keys = append(s.Groups[n].Keys, k.key)
	}
	return s, dropped
}

// remove removes a record. r.mu must be held.
func (r *Records) remove(e *list.Element) {
	delete(r.records, e.Value.(*kept).key)
	r.oldest.Remove(e)
}
