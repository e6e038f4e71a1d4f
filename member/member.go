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
	"sort"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/plat"
	"jacinthworks/work"
)

// Entries is the service name under which entries themselves are recorded.
const Entries work.Service = "entry"

// joinTries bounds how often one join meets another's write. Members of one
// service start together at most by the dozen; each loss is one more read.
const joinTries = 64

// keepEvery is the wait between tries while the platform is down: a host that
// started during an outage serves within a second of its end, and 12,000 of
// them would still stay below the platform's reads only if few start at once.
const keepEvery = time.Second

// Member is one process in the record.
type Member struct {
	Host        work.Host        `json:"host"`
	Zone        work.Zone        `json:"zone"`
	Role        work.Role        `json:"role,omitempty"`
	Service     work.Service     `json:"service"`
	Address     netip.AddrPort   `json:"address"`
	Incarnation work.Incarnation `json:"incarnation"`
}

// Record is a service's members at a version.
type Record struct {
	Service work.Service `json:"service"`
	Version plat.Version `json:"version"`
	// Members are sorted by host.
	Members []Member `json:"members"`
}

// Name is the name of a service's record in the object API.
func Name(s work.Service) string { return "members/" + string(s) }

// With gives the record with m in the place of its earlier incarnation, and
// whether that is a change.
func (r Record) With(m Member) (Record, bool) {
	next := Record{Service: r.Service, Version: r.Version}
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
	return next, true
}

// Without gives the record without the host's given incarnation.
func (r Record) Without(h work.Host, i work.Incarnation) (Record, bool) {
	next := Record{Service: r.Service, Version: r.Version}
	for _, o := range r.Members {
		if o.Host != h || o.Incarnation != i {
			next.Members = append(next.Members, o)
		}
	}
	return next, len(next.Members) != len(r.Members)
}

// Parse reads a record from an object.
func Parse(o plat.Object) (Record, error) {
	var r Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return Record{}, errors.Wrapf(err, "member: %s", o.Name)
	}
	r.Version = o.Version
	return r, nil
}

// Read gives a service's record; an empty one if there is none yet.
func Read(ctx context.Context, objects plat.Objects, s work.Service) (Record, error) {
	o, err := objects.Get(ctx, Name(s))
	if errors.Is(err, plat.ErrMissing) {
		return Record{Service: s}, nil
	}
	if err != nil {
		return Record{}, err
	}
	return Parse(o)
}

// Join puts m into its service's record and gives the record.
func Join(ctx context.Context, objects plat.Objects, m Member) (Record, error) {
	return change(ctx, objects, m.Service, func(r Record) (Record, bool) { return r.With(m) })
}

// Leave takes m out of its service's record. A later incarnation stays.
func Leave(ctx context.Context, objects plat.Objects, m Member) (Record, error) {
	return change(ctx, objects, m.Service, func(r Record) (Record, bool) { return r.Without(m.Host, m.Incarnation) })
}

// change writes by conditional update. A lost answer is settled by the next
// turn's read: the change then finds itself done.
func change(ctx context.Context, objects plat.Objects, s work.Service, edit func(Record) (Record, bool)) (Record, error) {
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
		if !errors.Is(err, plat.ErrConflict) && !errors.Is(err, plat.ErrNoAnswer) {
			break
		}
	}
	return Record{}, errors.Wrapf(last, "member: %s", s)
}

// Keep joins, trying again until the platform takes it, and tells of the
// record once. It ends then, or with the context.
func Keep(ctx context.Context, objects plat.Objects, m Member, joined func(Record)) error {
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
