package test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"jacinthworks/group"
	"jacinthworks/platform/fake"
)

const (
	storeSnapshotAgeRange = 7 * time.Second        // random part of a snapshot's age, added to the minimum of one second
	storeRewriteDelay     = 500 * time.Millisecond // delay between a restore and rewriteStore
)

// addStoreRestores adds, with probability one half, one or two restores of the store from older
// snapshots. Plans that have only planned operations have none.
func (s *FleetSoak) addStoreRestores(r *rand.Rand) {
	if s.Seed%4 == 0 || r.IntN(2) == 0 {
		return
	}
	for range 1 + r.IntN(2) {
		age := time.Second + time.Duration(r.Int64N(int64(storeSnapshotAgeRange)))
		s.addDisruption(r, disruption{
			name: fmt.Sprintf("store comes back from a copy %v old", age.Round(time.Millisecond)), entry: everyEntry,
			begin: func(f *fleet) error {
				f.store.SetDown(true)
				f.store.Restore(age)
				return nil
			},
			end: func(f *fleet) error {
				f.store.SetDown(false)
				group.Sleep(f.w.ctx, storeRewriteDelay)
				f.rewriteStore()
				return nil
			},
		})
	}
}

// rewriteStore writes the configuration and the servers' registry entries again, which the restored
// snapshot may lack, and deletes the registry entries of servers that no longer run.
func (f *fleet) rewriteStore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writeConfig(f.configs[len(f.configs)-1].generation)
	runs := make(map[*fake.Server]bool)
	for _, s := range f.servers {
		runs[s.current] = true
	}
	for _, s := range f.allServers {
		if runs[s] {
			s.Register()
		} else {
			f.store.Delete("servers", s.Entry.ID)
		}
	}
}
