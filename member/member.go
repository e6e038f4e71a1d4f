// Package member keeps the record of which processes serve what. Each service
// has one record in the platform's object API, changed only by conditional
// update; a process puts itself in when it starts. Whether a member lives is
// not in the record: that is heard on connections.
//
// # Usage
//
//	g, err := member.Join(ctx, objects, member.Member{Host: "wallapp-1", Service: "wallapp", ...})
//	g, err = member.Read(ctx, objects, "wallapp")
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

// EntryService is the service name under which entries themselves are recorded.
const EntryService domain.Service = "entry"

// joinTries bounds how often one join meets another's write. Members of one
// service start together at most by the dozen; each loss is one more read.
const joinTries = 64

// keepEvery is the wait between tries while the platform is down: a host that
// started during an outage serves within a second of its end, and 12,000 of
// them would still stay below the platform's reads only if few start at once.
const keepEvery = time.Second

// Member is one process in the record.
type Member struct {
	Host        domain.Host        `json:"host"`
	Zone        domain.Zone        `json:"zone"`
	Role        domain.Role        `json:"role,omitempty"`
	Service     domain.Service     `json:"service"`
	Address     netip.AddrPort     `json:"address"`
	Incarnation domain.Incarnation `json:"incarnation"`
	// Draining members take no new work and claim nothing, and are still
	// connected to for what they run and know.
	Draining bool `json:"draining,omitempty"`
}

// Record is a service's members at a version.
type Record struct {
	Service domain.Service `json:"service"`
	Version infra.Version  `json:"version"`
	// Members are sorted by host.
	Members []Member `json:"members"`
	// OwnsShards lists the members that own shards of keys and run what is
	// claimed. It has versions of its own, which grow by one with each change
	// of those members and of nothing else.
	Claims claim.Record `json:"claims"`
}

// Name is the name of a service's record in the object API.
func Name(s domain.Service) string { return "members/" + string(s) }

// With gives the record with m in the place of its earlier incarnation, and
// whether that is a change.
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
	next.claim()
	return next, true
}

// claim brings the claims' members up to date.
func (r *Record) claim() {
	var list []claim.Member
	for _, m := range r.Members {
		if m.OwnsShards() {
			list = append(list, claim.Member{Host: m.Host, Zone: m.Zone, Incarnation: m.Incarnation})
		}
	}
	old := r.Claims
	if slices.Equal(list, old.Members) {
		return
	}
	if old.Version == 0 {
		r.Claims = claim.Record{Generation: claim.Generation{Version: 1, First: true, Members: list}}
		return
	}
	r.Claims = old.Next(list)
	r.Claims.Version = old.Version + 1
	r.Claims.Past = bounded(r.Claims.Past)
}

// mostPast bounds the members in all past generations together, at about 60
// bytes each a quarter of what an object may hold. Dropping the oldest costs
// availability after many losses at once, never safety.
const mostPast = 4096

func bounded(past []claim.Generation) []claim.Generation {
	n := 0
	for i, g := range past {
		if n += len(g.Members); n > mostPast {
			return past[:i]
		}
	}
	return past
}

// ExecutesWork says whether the member's upstream is one at which work takes effect or
// is answered, so that what it ran has to be known.
func (m Member) ExecutesWork() bool { return m.Role == domain.RoleDecode || m.Role == domain.RoleApp }

// OwnsShards says whether the member owns shards and runs what is claimed.
func (m Member) OwnsShards() bool { return m.ExecutesWork() && !m.Draining }

// SameProcess says whether both speak of one life of a process at one address.
func (m Member) SameProcess(o Member) bool {
	return m.Process() == o.Process() && m.Address == o.Address
}

// Process names the member's present life as claims do.
func (m Member) Process() claim.Process {
	return claim.Process{Host: m.Host, Incarnation: m.Incarnation}
}

// Without gives the record without the host's given incarnation.
func (r Record) Without(h domain.Host, i domain.Incarnation) (Record, bool) {
	next := Record{Service: r.Service, Version: r.Version, Claims: r.Claims}
	for _, o := range r.Members {
		if o.Host != h || o.Incarnation != i {
			next.Members = append(next.Members, o)
		}
	}
	next.claim()
	return next, len(next.Members) != len(r.Members)
}

// Parse reads a record from an object.
func Parse(o infra.Object) (Record, error) {
	var r Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return Record{}, errors.Wrapf(err, "member: %s", o.Name)
	}
	r.Version = o.Version
	return r, nil
}

// Read gives a service's record; an empty one if there is none yet.
func Read(ctx context.Context, objects infra.Objects, s domain.Service) (Record, error) {
	o, err := objects.Get(ctx, Name(s))
	if errors.Is(err, infra.ErrNotFound) {
		return Record{Service: s}, nil
	}
	if err != nil {
		return Record{}, err
	}
	return Parse(o)
}

// Join puts m into its service's record and gives the record.
func Join(ctx context.Context, objects infra.Objects, m Member) (Record, error) {
	return change(ctx, objects, m.Service, func(r Record) (Record, bool) { return r.With(m) })
}

// Leave takes m out of its service's record. A later incarnation stays.
func Leave(ctx context.Context, objects infra.Objects, m Member) (Record, error) {
	return change(ctx, objects, m.Service, func(r Record) (Record, bool) { return r.Without(m.Host, m.Incarnation) })
}

// change writes by conditional update. A lost answer is settled by the next
// turn's read: the change then finds itself done.
func change(ctx context.Context, objects infra.Objects, s domain.Service, edit func(Record) (Record, bool)) (Record, error) {
	var last error
	for range joinTries {
		now, err := Read(ctx, objects, s)
		if err != nil {
			return Record{}, err
		}
		next, changed := edit(now)
		if !changed {
			return now, nil
		}
		text, err := json.Marshal(next)
		if err != nil {
			return Record{}, errors.Wrap(err, "member")
		}
		v, err := objects.Put(ctx, Name(s), text, now.Version)
		if err == nil {
			next.Version = v
			return next, nil
		}
		last = err
		if !errors.Is(err, infra.ErrConflict) && !errors.Is(err, infra.ErrNoReply) {
			break
		}
	}
	return Record{}, errors.Wrapf(last, "member: %s", s)
}

// JoinWithRetry joins, trying again until the platform takes it, and tells of the
// record once. It ends then, or with the context.
func JoinWithRetry(ctx context.Context, objects infra.Objects, m Member, joined func(Record)) error {
	for {
		r, err := Join(ctx, objects, m)
		if err == nil {
			joined(r)
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(keepEvery):
		}
	}
}

// How long the watch of a record waits at the platform, and how long a failed
// one rests. At 650 entries and ten services, thirty seconds are 217 calls a
// second, a tenth of the platform's reads.
const (
	WatchWait       = 30 * time.Second
	WatchRetryDelay = 500 * time.Millisecond
)

// Watch gives each newer version of a service's record to apply, until the
// context ends. While the platform does not give it, otherwise is asked for
// the newest that is known elsewhere; it may be nil.
func Watch(ctx context.Context, objects infra.Objects, s domain.Service, apply func(Record) bool, otherwise func(context.Context, Record) Record) error {
	var at Record
	for ctx.Err() == nil {
		o, err := objects.Watch(ctx, Name(s), at.Version, WatchWait)
		if err == nil {
			next, err := Parse(o)
			if err == nil && apply(next) {
				at = next
				continue
			}
		}
		if otherwise != nil && err != nil && !errors.Is(err, infra.ErrUnchanged) {
			at = otherwise(ctx, at)
		}
		select {
		case <-ctx.Done():
		case <-time.After(WatchRetryDelay):
		}
	}
	return nil
}
