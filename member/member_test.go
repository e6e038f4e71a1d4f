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

// fault is what befalls one write.
type fault int

const (
	faultNone   fault = iota
	faultRace         // another process's write comes in between
	faultBefore       // no answer, and nothing was written
	faultAfter        // no answer, and the write took effect
)

// objects is one object in memory, with all that was ever written to it.
type objects struct {
	infra.Objects
	at     infra.Object
	writes []Record
	faults []fault
	race   func()
}

func (o *objects) Get(context.Context, string) (infra.Object, error) {
	if o.at.Version == 0 {
		return infra.Object{}, infra.ErrNotFound
	}
	return o.at, nil
}

func (o *objects) Put(_ context.Context, name string, value []byte, at infra.Version) (infra.Version, error) {
	now := faultNone
	if len(o.faults) > 0 {
		now, o.faults = o.faults[0], o.faults[1:]
	}
	if now == faultRace {
		o.race()
	}
	if at != o.at.Version {
		return 0, infra.ErrConflict
	}
	if now == faultBefore {
		return 0, infra.ErrNoReply
	}
	o.at = infra.Object{Name: name, Version: at + 1, Value: value}
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return 0, err
	}
	o.writes = append(o.writes, r)
	if now == faultAfter {
		return 0, infra.ErrNoReply
	}
	return o.at.Version, nil
}

var roles = []domain.Role{domain.RolePrefill, domain.RoleDecode, domain.RoleApp}

func memberOf(host int, i domain.Incarnation) Member {
	return Member{Host: domain.Host(fmt.Sprintf("host-%d", host)), Role: roles[host%len(roles)], Service: "logwriter", Incarnation: i}
}

// The story: after a rolling stop a hall server gets no work, or a keyed call
// finds two owners. Processes join, restart and leave late, all writing one
// record; answers of the platform are lost after the write took effect. The
// cause would be a write that is made twice, dropped, or undoes a newer life.
func TestRecordThroughConflictsAndLostAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, o := t.Context(), &objects{}
		naive := make(map[domain.Host]Member)
		lives := make(map[int]domain.Incarnation)
		change := func(host int, join bool) {
			if join {
				lives[host]++
				m := memberOf(host, lives[host])
				naive[m.Host] = m
				r, err := Join(ctx, o, m)
				require.NoError(t, err)
				require.Equal(t, 1, countOf(r, m), "in the record once")
				return
			}
			life := domain.Incarnation(rapid.Uint64Range(0, uint64(lives[host])).Draw(t, "life"))
			m := memberOf(host, life)
			if naive[m.Host] == m {
				delete(naive, m.Host)
			}
			_, err := Leave(ctx, o, m)
			require.NoError(t, err)
		}
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			o.faults = rapid.SliceOfN(rapid.Map(rapid.IntRange(0, 3), func(n int) fault { return fault(n) }), 0, 4).Draw(t, "faults")
			o.race = func() {
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
		for _, m := range naive {
			want = append(want, m)
		}
		require.ElementsMatch(t, want, r.Members)
		requireClaims(t, o.writes)
	})
}

func countOf(r Record, m Member) (n int) {
	for _, o := range r.Members {
		if o.Host == m.Host {
			n++
		}
	}
	return n
}

// requireClaims checks what the owners of shards rely on: the claims' version
// grows by one with each change of the members that claim, and of no others.
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
