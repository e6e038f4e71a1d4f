package claim

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jacinthworks/check"
	"jacinthworks/domain"
)

// MaxPast is how many past generations a record keeps. Dropping a generation too early
// never affects safety, but a table whose completion needs that generation cannot be
// completed any more. 64 covers a service of that many members that start at once, before
// any of them has read the record. With 9 members, 64 generations take 32 kB.
const MaxPast = 64

// Process is one incarnation of a host's process.
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

// Process returns the incarnation that the member stands for.
func (m Member) Process() Process { return Process{Host: m.Host, Incarnation: m.Incarnation} }

// Generation is the list of members at one version of the record.
type Generation struct {
	// Version is the platform's version of the object.
	Version uint64 `json:"version"`
	// CreatedObject reports that this generation was written by creating the object. No request can
	// have run before it. The object must never be deleted.
	CreatedObject bool     `json:"first,omitempty"`
	Members       []Member `json:"members"`
}

// Record is the platform's object for one service. It is changed only by conditional
// update, and each writer puts the generation that it replaces at the front of PastGenerations (see
// Next).
type Record struct {
	Generation
	// PastGenerations holds earlier generations without gaps, newest first.
	PastGenerations []Generation `json:"past,omitempty"`
}

// Next returns the record to write in place of r. The caller writes it on condition that
// the object is still at r.Version, and sets Version from the platform's response.
func (r Record) Next(members []Member) Record {
	past := append([]Generation{r.Generation}, r.PastGenerations...)
	if len(past) > MaxPast {
		past = past[:MaxPast]
	}
	return Record{Generation: Generation{Members: members}, PastGenerations: past}
}

// Check returns an error that lists every fault that makes the record invalid, or nil.
func (r Record) Check() error {
	var findings check.Findings
	if r.Version == 0 {
		findings.Add("version", "is zero")
	}
	seen := map[domain.Host]bool{}
	for i, m := range r.Members {
		place := fmt.Sprintf("members[%d]", i)
		if m.Host == "" || m.Zone == "" || m.Incarnation == 0 {
			findings.Add(place, "needs host, zone and incarnation")
		}
		if seen[m.Host] {
			findings.Add(place, "host %q is listed twice", m.Host)
		}
		seen[m.Host] = true
	}
	newer := r.Version
	for i, g := range r.PastGenerations {
		if g.Version >= newer {
			findings.Add(fmt.Sprintf("past[%d]", i), "version %d does not precede %d", g.Version, newer)
		}
		newer = g.Version
	}
	return findings.Err()
}

// Ranked returns the members in the order in which they own the shard, the first owner
// first. The order is that of a rendezvous hash on the host's name, so that a change of one
// member moves only its own shards. The first member in another zone than rank 0, if there
// is one, becomes rank 1, so that after the loss of a zone the next rank can take over.
func (g Generation) Ranked(s Shard) []Member {
	ranked := slices.Clone(g.Members)
	slices.SortFunc(ranked, func(a, b Member) int {
		if c := cmp.Compare(rendezvousScore(b.Host, s), rendezvousScore(a.Host, s)); c != 0 {
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

// rendezvousScore is the rendezvous hash of a host for a shard.
func rendezvousScore(h domain.Host, s Shard) uint64 {
	return xxhash.Sum64String(string(h) + "\x00" + string(rune(s)))
}

// Eligible returns the processes that may run the shard's requests: the members in another
// zone than rank 0; if there are none, the members other than rank 0; if there are none,
// rank 0 itself. The result depends on rank 0, whichever process owns the shard, so that
// all epochs of one version share one set: a successor fences every runner that its
// predecessor may have granted keys to.
func (g Generation) Eligible(s Shard) []Process {
	ranked := g.Ranked(s)
	var otherZone, otherMembers []Process
	for i, m := range ranked {
		if i > 0 && m.Zone != ranked[0].Zone {
			otherZone = append(otherZone, m.Process())
		}
		if i > 0 {
			otherMembers = append(otherMembers, m.Process())
		}
	}
	switch {
	case len(otherZone) > 0:
		return otherZone
	case len(otherMembers) > 0:
		return otherMembers
	case len(ranked) > 0:
		return []Process{ranked[0].Process()}
	}
	return nil
}

// Rank returns the process's rank in the shard, its index in Ranked, 0 being the first
// owner; the bool is false if the generation does not list this incarnation.
func (g Generation) Rank(s Shard, p Process) (uint32, bool) {
	for i, m := range g.Ranked(s) {
		if m.Process() == p {
			return uint32(i), true
		}
	}
	return 0, false
}

// runnerSet is the set of eligible runners of one shard at one version.
type runnerSet struct {
	version  uint64
	eligible []Process
}

// runnerSets returns the eligible runners at each version of the record, newest first.
func (r Record) runnerSets(s Shard) []runnerSet {
	list := []runnerSet{{version: r.Version, eligible: r.Eligible(s)}}
	for _, g := range r.PastGenerations {
		list = append(list, runnerSet{version: g.Version, eligible: g.Eligible(s)})
	}
	return list
}

// firstGenerationVersion returns the version of the service's first generation if it lists
// this incarnation, and zero otherwise. A process of the first generation needs no
// restoring; a restarted process has another incarnation and so starts with zero.
func (r Record) firstGenerationVersion(p Process) uint64 {
	for _, g := range append([]Generation{r.Generation}, r.PastGenerations...) {
		if !g.CreatedObject {
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

// Turn returns the first epoch after the given one that the process may start in the shard;
// the bool is false if the process is not a member or the given epoch belongs to a newer
// version.
//
// A process may have more than one turn at a version: while the platform is down no new
// version appears, and each member may be superseded in turn after it was believed to be
// lost. With one turn each, the shard would then have no owner until the platform is back.
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

// Holder returns the process whose turn the epoch of this generation is.
func (g Generation) Holder(s Shard, e Epoch) (Process, bool) {
	if e.Version != g.Version || len(g.Members) == 0 {
		return Process{}, false
	}
	return g.Ranked(s)[int(e.Turn)%len(g.Members)].Process(), true
}
