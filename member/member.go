// Package member keeps the record of which processes serve which service. Each service has
// one record in the platform's object API, changed only by conditional update; a process
// adds itself when it starts. The record does not show whether a member is alive: processes
// detect that on their connections to it.
//
// # Usage
//
//	record, err := member.Join(ctx, objects, member.Member{Host: "wallapp-1", Service: "wallapp", ...})
//	record, err = member.Read(ctx, objects, "wallapp")
package member

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/claim"
	"jacinthworks/domain"
	"jacinthworks/infra"
)

// EntryService is the service name under which the entries are recorded.
const EntryService domain.Service = "entry"

// maxUpdateAttempts bounds the attempts of one update when other processes write the record
// at the same time. Members of one service start together by the dozen at most; each
// conflict costs one more read.
const maxUpdateAttempts = 64

// joinRetryInterval is the delay between attempts to join while the platform is down. A
// host that started during an outage serves within a second after its end. The reads of
// 12,000 such hosts would stay below the platform's limit only if few of them start at
// once.
const joinRetryInterval = time.Second

// Member is one process in a service's record.
type Member struct {
	Host        domain.Host        `json:"host"`
	Zone        domain.Zone        `json:"zone"`
	Role        domain.Role        `json:"role,omitempty"`
	Service     domain.Service     `json:"service"`
	Address     netip.AddrPort     `json:"address"`
	Incarnation domain.Incarnation `json:"incarnation"`
	// Draining members accept no new work and own no shards. Other processes stay connected
	// to them for the requests that they still run and the keys that they remember.
	Draining bool `json:"draining,omitempty"`
}

// Record is the list of a service's members at one version.
type Record struct {
	Service domain.Service `json:"service"`
	Version infra.Version  `json:"version"`
	// Members are sorted by host.
	Members []Member `json:"members"`
	// Claims lists the members that own shards of keys and run claimed requests. Its
	// version is separate from Version: it grows by one with each change of those members
	// and of nothing else.
	Claims claim.Record `json:"claims"`
}

// RecordName returns the name of a service's record in the object API.
func RecordName(s domain.Service) string { return "members/" + string(s) }

// With returns the record with m in place of an earlier incarnation of its host, and
// reports whether that changes the record.
func (r Record) With(m Member) (Record, bool) {
	next := Record{Service: r.Service, Version: r.Version, Claims: r.Claims}
	for _, o := range r.Members {
		if o == m {
			return r, false
		}
		if o.Host != m.Host {
			next.Members = append(next.Members, o)
		}
	}
	next.Members = append(next.Members, m)
	sort.Slice(next.Members, func(i, j int) bool { return next.Members[i].Host < next.Members[j].Host })
	next.updateClaims()
	return next, true
}

// updateClaims updates Claims to the members that own shards now.
func (r *Record) updateClaims() {
	var list []claim.Member
	for _, m := range r.Members {
		if m.OwnsShards() {
			list = append(list, claim.Member{Host: m.Host, Zone: m.Zone, Incarnation: m.Incarnation})
		}
	}
	previous := r.Claims
	if slices.Equal(list, previous.Members) {
		return
	}
	if previous.Version == 0 {
		r.Claims = claim.Record{Generation: claim.Generation{Version: 1, CreatedObject: true, Members: list}}
		return
	}
	r.Claims = previous.Next(list)
	r.Claims.Version = previous.Version + 1
	r.Claims.PastGenerations = dropOldGenerations(r.Claims.PastGenerations)
}

// maxPastMembers bounds the members in all past generations together; at about 60 bytes
// each they take a quarter of the maximum size of an object. Dropping the oldest
// generations costs availability after many losses at once, but never safety.
const maxPastMembers = 4096

// dropOldGenerations removes the oldest generations beyond maxPastMembers.
func dropOldGenerations(past []claim.Generation) []claim.Generation {
	count := 0
	for i, g := range past {
		if count += len(g.Members); count > maxPastMembers {
			return past[:i]
		}
	}
	return past
}

// RunsRequests reports whether work takes effect or is answered at the member's upstream,
// so that the member must remember what it ran.
func (m Member) RunsRequests() bool { return m.Role == domain.RoleDecode || m.Role == domain.RoleApp }

// OwnsShards reports whether the member owns shards and runs claimed requests.
func (m Member) OwnsShards() bool { return m.RunsRequests() && !m.Draining }

// SameProcess reports whether m and o are the same incarnation of a process at the same
// address.
func (m Member) SameProcess(o Member) bool {
	return m.Process() == o.Process() && m.Address == o.Address
}

// Process returns the member's host and incarnation in the form that package claim uses.
func (m Member) Process() claim.Process {
	return claim.Process{Host: m.Host, Incarnation: m.Incarnation}
}

// Without returns the record without the given incarnation of the host, and reports whether
// that changes the record.
func (r Record) Without(h domain.Host, i domain.Incarnation) (Record, bool) {
	next := Record{Service: r.Service, Version: r.Version, Claims: r.Claims}
	for _, o := range r.Members {
		if o.Host != h || o.Incarnation != i {
			next.Members = append(next.Members, o)
		}
	}
	next.updateClaims()
	return next, len(next.Members) != len(r.Members)
}

// Parse decodes a record from an object.
func Parse(object infra.Object) (Record, error) {
	var record Record
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return Record{}, errors.Wrapf(err, "member: decode %s", object.Name)
	}
	record.Version = object.Version
	return record, nil
}

// Read returns a service's record; it is empty if the service has none yet.
func Read(ctx context.Context, objects infra.Objects, s domain.Service) (Record, error) {
	object, err := objects.Get(ctx, RecordName(s))
	if errors.Is(err, infra.ErrNotFound) {
		return Record{Service: s}, nil
	}
	if err != nil {
		return Record{}, err
	}
	return Parse(object)
}

// Join adds m to its service's record and returns the record.
func Join(ctx context.Context, objects infra.Objects, m Member) (Record, error) {
	return updateRecord(ctx, objects, m.Service, func(r Record) (Record, bool) { return r.With(m) })
}

// Leave removes m from its service's record and returns the record. A later incarnation of
// the host stays in the record.
func Leave(ctx context.Context, objects infra.Objects, m Member) (Record, error) {
	return updateRecord(ctx, objects, m.Service, func(r Record) (Record, bool) { return r.Without(m.Host, m.Incarnation) })
}

// updateRecord applies edit by conditional update. After a lost reply the next attempt
// reads the record again; if the write took effect, edit reports no change.
func updateRecord(ctx context.Context, objects infra.Objects, s domain.Service, edit func(Record) (Record, bool)) (Record, error) {
	var lastErr error
	for range maxUpdateAttempts {
		current, err := Read(ctx, objects, s)
		if err != nil {
			return Record{}, err
		}
		next, changed := edit(current)
		if !changed {
			return current, nil
		}
		value, err := json.Marshal(next)
		if err != nil {
			return Record{}, errors.Wrap(err, "member: encode record")
		}
		version, err := objects.Put(ctx, RecordName(s), value, current.Version)
		if err == nil {
			next.Version = version
			return next, nil
		}
		lastErr = err
		if !errors.Is(err, infra.ErrConflict) && !errors.Is(err, infra.ErrNoReply) {
			break
		}
	}
	return Record{}, errors.Wrapf(lastErr, "member: update record of %s", s)
}

// JoinWithRetry calls Join until it succeeds, then calls joined once with the record and
// returns nil. It also returns nil when the context ends.
func JoinWithRetry(ctx context.Context, objects infra.Objects, m Member, joined func(Record)) error {
	for {
		record, err := Join(ctx, objects, m)
		if err == nil {
			joined(record)
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(joinRetryInterval):
		}
	}
}

// WatchWait is how long a watch of a record waits at the platform, WatchRetryDelay the
// delay after a failed watch. With 650 entries and ten services, thirty seconds make 217
// calls a second, a tenth of the reads that the platform allows.
const (
	WatchWait       = 30 * time.Second
	WatchRetryDelay = 500 * time.Millisecond
)

// Watch calls apply with each newer version of a service's record until the context ends.
// When the platform returns an error, it calls fallback with the last applied record and
// continues from the record that fallback returns, the newest record of another source;
// fallback may be nil.
func Watch(ctx context.Context, objects infra.Objects, s domain.Service, apply func(Record) bool, fallback func(context.Context, Record) Record) error {
	var applied Record
	for ctx.Err() == nil {
		object, err := objects.Watch(ctx, RecordName(s), applied.Version, WatchWait)
		if err == nil {
			next, err := Parse(object)
			if err == nil && apply(next) {
				applied = next
				continue
			}
		}
		if fallback != nil && err != nil && !errors.Is(err, infra.ErrUnchanged) {
			applied = fallback(ctx, applied)
		}
		select {
		case <-ctx.Done():
		case <-time.After(WatchRetryDelay):
		}
	}
	return nil
}
