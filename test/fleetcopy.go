package test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"jacinthworks/group"
	"jacinthworks/platform/fake"
)

const (
	storeCopyAge = 7 * time.Second        // beyond a second
	storeAnew    = 500 * time.Millisecond // until all has been written again
)

// addCopies has, in one plan of two but for those with planned work only, the store come
// back from older copies, once or twice.
func (s *FleetSoak) addCopies(r *rand.Rand) {
	if s.Seed%4 == 0 || r.IntN(2) == 0 {
		return
	}
	for range 1 + r.IntN(2) {
		age := time.Second + time.Duration(r.Int64N(int64(storeCopyAge)))
		s.add(r, trouble{
			name: fmt.Sprintf("store comes back from a copy %v old", age.Round(time.Millisecond)), entry: everyEntry,
			begin: func(f *fleet) error {
				f.store.SetDown(true)
				f.store.Restore(age)
				return nil
			},
			end: func(f *fleet) error {
				f.store.SetDown(false)
				group.Sleep(f.w.ctx, storeAnew)
				f.writeAnew()
				return nil
			},
		})
	}
}

// writeAnew writes again what the operators and the servers wrote, after the store came
// back from a copy that may lack it, and takes out the entries of servers that are gone.
func (f *fleet) writeAnew() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writeConfig(f.configs[len(f.configs)-1].generation)
	runs := make(map[*fake.Server]bool)
	for _, s := range f.servers {
		runs[s.now] = true
	}
	for _, s := range f.past {
		if runs[s] {
			s.Register()
		} else {
			f.store.Delete("servers", s.Entry.ID)
		}
	}
}
