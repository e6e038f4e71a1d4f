package member

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/domain"
	"jacinthworks/infra"
	"jacinthworks/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// faultKind is the fault injected into one write.
type faultKind int

const (
	faultNone        faultKind = iota
	faultConflict              // another process writes first
	faultRequestLost           // no reply, and the write took no effect
	faultReplyLost             // no reply, and the write took effect
)

// objects is one object in memory, with the member record of every write that took effect.
type objects struct {
	infra.Objects
	stored          infra.Object
	writes          []Record
	faults          []faultKind
	concurrentWrite func()
}

func (o *objects) Get(context.Context, string) (infra.Object, error) {
	if o.stored.Version == 0 {
		return infra.Object{}, infra.ErrNotFound
	}
	return o.stored, nil
}

func (o *objects) Put(_ context.Context, name string, value []byte, at infra.Version) (infra.Version, error) {
	injected := faultNone
	if len(o.faults) > 0 {
		injected, o.faults = o.faults[0], o.faults[1:]
	}
	if injected == faultConflict {
		o.concurrentWrite()
	}
	if at != o.stored.Version {
		return 0, infra.ErrConflict
	}
	if injected == faultRequestLost {
		return 0, infra.ErrNoReply
	}
	o.stored = infra.Object{Name: name, Version: at + 1, Value: value}
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return 0, err
	}
	o.writes = append(o.writes, r)
	if injected == faultReplyLost {
		return 0, infra.ErrNoReply
	}
	return o.stored.Version, nil
}

var roles = []domain.Role{domain.RolePrefill, domain.RoleDecode, domain.RoleApp}

func memberOf(host int, i domain.Incarnation) Member {
	return Member{Host: domain.Host(fmt.Sprintf("host-%d", host)), Role: roles[host%len(roles)], Service: "logwriter", Incarnation: i}
}

// Processes join, restart and leave late, and all write one record; replies of the platform
// are lost after the write took effect. A write that is made twice, is dropped, or removes
// a newer incarnation would leave an application server without work after a rolling stop,
// or a key with two owners.
func TestRecordStaysCorrectThroughConflictsAndLostReplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, o := t.Context(), &objects{}
		expected := make(map[domain.Host]Member)
		incarnations := make(map[int]domain.Incarnation)
		change := func(host int, join bool) {
			if join {
				incarnations[host]++
				m := memberOf(host, incarnations[host])
				expected[m.Host] = m
				r, err := Join(ctx, o, m)
				require.NoError(t, err)
				require.Equal(t, 1, countRecorded(r, m), "in the record once")
				return
			}
			incarnation := domain.Incarnation(rapid.Uint64Range(0, uint64(incarnations[host])).Draw(t, "life"))
			m := memberOf(host, incarnation)
			if expected[m.Host] == m {
				delete(expected, m.Host)
			}
			_, err := Leave(ctx, o, m)
			require.NoError(t, err)
		}
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			o.faults = rapid.SliceOfN(rapid.Map(rapid.IntRange(0, 3), func(n int) faultKind { return faultKind(n) }), 0, 4).Draw(t, "faults")
			o.concurrentWrite = func() {
				faults := o.faults
				o.faults = nil
				change(rapid.IntRange(5, 8).Draw(t, "other"), rapid.Bool().Draw(t, "other joins"))
				o.faults = faults
			}
			change(rapid.IntRange(0, 4).Draw(t, "host"), rapid.Bool().Draw(t, "joins"))
		}
		r, err := Read(ctx, o, "logwriter")
		require.NoError(t, err)
		var want []Member
		for _, m := range expected {
			want = append(want, m)
		}
		require.ElementsMatch(t, want, r.Members)
		requireClaims(t, o.writes)
	})
}

func countRecorded(r Record, m Member) (n int) {
	for _, o := range r.Members {
		if o.Host == m.Host {
			n++
		}
	}
	return n
}

// requireClaims requires of successive writes that the claims list the members that own
// shards, and that the claims' version grows by one with each change of these members and
// with no other change.
func requireClaims(t *rapid.T, writes []Record) {
	var before Record
	for n, r := range writes {
		require.True(t, slices.IsSortedFunc(r.Members, func(a, b Member) int {
			if a.Host < b.Host {
				return -1
			}
			return 1
		}))
		var claiming int
		for _, m := range r.Members {
			if m.OwnsShards() {
				claiming++
			}
		}
		require.Len(t, r.Claims.Members, claiming)
		if slices.Equal(r.Claims.Members, before.Claims.Members) {
			require.Equal(t, before.Claims.Version, r.Claims.Version, "write %d", n)
		} else {
			require.Equal(t, before.Claims.Version+1, r.Claims.Version, "write %d", n)
		}
		before = r
	}
}
