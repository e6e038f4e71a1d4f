package claim

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jacinthworks/check"
	"jacinthworks/domain"
)

// MaxPast is how many past generations a record keeps. Dropping one too early
// never costs safety, but a view that needs it cannot be completed any more. 64
// covers a service of that many members that start at once, before anyone has
// read the record. With 9 members they take 32 kB.
const MaxPast = 64

// Process is one life of a host's process.
type Process struct {
	Host        domain.Host        `json:"host"`
	Incarnation domain.Incarnation `json:"incarnation"`
}

// Member is a side that may own shards and run requests.
type Member struct {
	Host        domain.Host        `json:"host"`
	Zone        domain.Zone        `json:"zone"`
	Incarnation domain.Incarnation `json:"incarnation"`
}

// Process gives the life of the process that the member stands for.
func (m Member) Process() Process { return Process{Host: m.Host, Incarnation: m.Incarnation} }

// Generation is the members at one version of the record.
type Generation struct {
	// Version is the platform's version of the object.
	Version uint64 `json:"version"`
	// First says that this generation was written by creating the object.
	// Nothing can have run before it. The object must never be deleted.
	First   bool     `json:"first,omitempty"`
	Members []Member `json:"members"`
}

// Record is the platform's object for one service. It is changed only by
// conditional update, and each writer puts the generation that it replaces at
// the head of Past (see Succeed).
type Record struct {
	Generation
	// Past holds earlier generations without gaps, newest first.
	Past []Generation `json:"past,omitempty"`
}

// Next gives the record to write in place of r. The caller writes it on
// condition that the object is still at r.Version, and sets Version from the
// platform's answer.
func (r Record) Next(members []Member) Record {
	past := append([]Generation{r.Generation}, r.Past...)
	if len(past) > MaxPast {
		past = past[:MaxPast]
	}
	return Record{Generation: Generation{Members: members}, Past: past}
}

// Check finds what makes a record unfit for use.
func (r Record) Check() error {
	var f check.Findings
	if r.Version == 0 {
		f.Add("version", "is zero")
	}
	seen := map[domain.Host]bool{}
	for i, m := range r.Members {
		place := fmt.Sprintf("members[%d]", i)
		if m.Host == "" || m.Zone == "" || m.Incarnation == 0 {
			f.Add(place, "needs host, zone and incarnation")
		}
		if seen[m.Host] {
			f.Add(place, "host %q is listed twice", m.Host)
		}
		seen[m.Host] = true
	}
	newer := r.Version
	for i, g := range r.Past {
		if g.Version >= newer {
			f.Add(fmt.Sprintf("past[%d]", i), "version %d does not precede %d", g.Version, newer)
		}
		newer = g.Version
	}
	return f.Err()
}

// Ranked gives the members in the order in which they own the shard. Rank 0
// and the rest go by rendezvous hash on the host's name, so that a change of
// one member moves only its shards; rank 1 is the first in another zone than
// rank 0, if there is one, so that the loss of a zone leaves a successor.
func (g Generation) Ranked(s Shard) []Member {
	ranked := slices.Clone(g.Members)
	slices.SortFunc(ranked, func(a, b Member) int {
		if c := cmp.Compare(score(b.Host, s), score(a.Host, s)); c != 0 {
			return c
		}
		return cmp.Compare(a.Host, b.Host)
	})
	for i := 1; i < len(ranked); i++ {
		if ranked[i].Zone != ranked[0].Zone {
			successor := ranked[i]
			copy(ranked[2:i+1], ranked[1:i])
			ranked[1] = successor
			break
		}
	}
	return ranked
}

func score(h domain.Host, s Shard) uint64 {
	return xxhash.Sum64String(string(h) + "\x00" + string(rune(s)))
}

// Eligible gives the processes that may run the shard's requests: members in
// another zone than rank 0; if there is none, members other than rank 0; if
// there is none, rank 0 itself. It goes by rank 0 whoever owns the shard, so
// that all epochs of one version share one set: what a predecessor may have
// granted to is what its successor fences.
func (g Generation) Eligible(s Shard) []Process {
	ranked := g.Ranked(s)
	var apart, others []Process
	for i, m := range ranked {
		if i > 0 && m.Zone != ranked[0].Zone {
			apart = append(apart, m.Process())
		}
		if i > 0 {
			others = append(others, m.Process())
		}
	}
	switch {
	case len(apart) > 0:
		return apart
	case len(others) > 0:
		return others
	case len(ranked) > 0:
		return []Process{ranked[0].Process()}
	}
	return nil
}

// Rank gives the process's rank in the shard; false if the generation does
// not list this very incarnation.
func (g Generation) Rank(s Shard, p Process) (uint32, bool) {
	for i, m := range g.Ranked(s) {
		if m.Process() == p {
			return uint32(i), true
		}
	}
	return 0, false
}

// scope is the eligible runners of one shard at one version.
type scope struct {
	version  uint64
	eligible []Process
}

// scopes gives the scopes of the record, newest first.
func (r Record) scopes(s Shard) []scope {
	list := []scope{{version: r.Version, eligible: r.Eligible(s)}}
	for _, g := range r.Past {
		list = append(list, scope{version: g.Version, eligible: g.Eligible(s)})
	}
	return list
}

// vouchedFrom gives the version from which the process needs no restoring:
// that of the first generation ever, if it lists this very incarnation. A
// restarted process has another incarnation and so starts with zero.
func (r Record) vouchedFrom(p Process) uint64 {
	for _, g := range append([]Generation{r.Generation}, r.Past...) {
		if !g.First {
			continue
		}
		for _, m := range g.Members {
			if m.Process() == p {
				return g.Version
			}
		}
	}
	return 0
}

// Turn gives the first epoch after the given one that the process may start in
// the shard; false if it is no member, or the epoch is of a newer version.
//
// Failure: each member has owned the shard once, taken for lost by the next,
// while the platform is down and no new version comes. With one turn each the
// shard would stay without an owner until it is back.
func (g Generation) Turn(s Shard, p Process, after Epoch) (Epoch, bool) {
	rank, member := g.Rank(s, p)
	if !member || after.Version > g.Version {
		return Epoch{}, false
	}
	next := Epoch{Version: g.Version, Turn: rank}
	for !after.Less(next) {
		next.Turn += uint32(len(g.Members))
	}
	return next, true
}

// Holder gives the process whose turn an epoch of this generation is.
func (g Generation) Holder(s Shard, e Epoch) (Process, bool) {
	if e.Version != g.Version || len(g.Members) == 0 {
		return Process{}, false
	}
	return g.Ranked(s)[int(e.Turn)%len(g.Members)].Process(), true
}
