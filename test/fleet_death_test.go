package test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/events"
	"jacinthworks/group"
	"jacinthworks/platform/fake"
)

// deathEntries and deathVersions are set by `make deaths`.
var (
	deathEntries  = flag.Int("death-entries", 0, "number of entries that are killed at once")
	deathVersions = flag.String("death-versions", "one", "software versions of the engines: one, two, or release, where a third one comes just before")
)

// Load of the measurement: streams of 1.5 s, 20 a second.
const (
	deathEventInterval = 250 * time.Millisecond
	deathSpacing       = 50 * time.Millisecond
	deathStreams       = 120
	deathAt            = 3 * time.Second
	deathPatience      = 14 * time.Second
)

// deathCount is what became of the streams that the death of all entries broke off.
type deathCount struct {
	mu             sync.Mutex
	killedAt       time.Time
	broken, wentOn int
	first          time.Duration
}

func (c *deathCount) at() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.killedAt
}

func (c *deathCount) died(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killedAt = at
}

func (c *deathCount) broke() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken++
}

func (c *deathCount) resumed(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wentOn++
	if after := at.Sub(c.killedAt); c.first == 0 || after < c.first {
		c.first = after
	}
}

// Measures what the death of all entries costs the streams that run: run by `make deaths`, it checks nothing.
func TestStreamsThroughDeathOfAllEntries(t *testing.T) {
	if *deathEntries == 0 {
		t.Skip("a measurement: make deaths")
	}
	f, err := newFleet(built, t.TempDir(), fleetOptions{eras: true, versions: *deathVersions != "one", fleetKills: true, entryCount: *deathEntries})
	defer f.close()
	require.NoError(t, err)
	for _, s := range f.allServers {
		if s.Entry.Stage == "decode" {
			s.SetEventInterval(deathEventInterval)
		}
	}
	for _, h := range f.entries {
		h.ready = true
	}
	time.Sleep(5 * time.Second)
	var streams group.Group
	var count deathCount
	written, began := f.store.Writes("stream_versions", "stream_origins"), time.Now()
	for n := range deathStreams {
		if count.at().IsZero() && time.Since(began) > deathAt {
			seconds := time.Since(began).Seconds()
			t.Logf("entries %d, versions %s: %.1f store writes a second for streams before the death", *deathEntries, *deathVersions,
				float64(f.store.Writes("stream_versions", "stream_origins")-written)/seconds)
			count.died(time.Now())
			go func() { _ = f.killAll() }()
		}
		if *deathVersions == "release" && n == 30 {
			s := fake.NewServer(f.store, fake.Entry{ID: "decode-new", Service: "model", Stage: "decode", Zone: "here", Slots: 16, Version: "v9"})
			s.SetEventInterval(deathEventInterval)
			defer s.Close()
		}
		streams.Go(f.w.ctx, "stream", func(ctx context.Context) error {
			f.runThroughDeath(ctx, fmt.Sprint("d", n), &count)
			return nil
		})
		time.Sleep(deathSpacing)
	}
	streams.Wait()
	t.Logf("entries %d, versions %s: %d streams broken off, %d went on (%.3f), the first %.2f s after the death; %d store writes for streams in all", *deathEntries, *deathVersions,
		count.broken, count.wentOn, float64(count.wentOn)/float64(max(count.broken, 1)), count.first.Seconds(), f.store.Writes("stream_versions", "stream_origins")-written)
}

// runThroughDeath sends a stream, and resumes it until it goes on or its caller gives up.
func (f *fleet) runThroughDeath(ctx context.Context, id string, count *deathCount) {
	r := rand.New(rand.NewPCG(uint64(len(id)), uint64(time.Now().UnixNano())))
	var s events.Splitter
	request := newFleetCall(id, singleKind)
	until := time.Now().Add(deathPatience)
	broke := false
	for n := 0; ctx.Err() == nil && time.Now().Before(until); n++ {
		h := pick(r, f.entries)
		c := &fake.Caller{EntryAddr: h.current().listen}
		last := s.LastEventID
		if last != "" {
			request.id, request.kind, request.resumes, request.lastEvent = fmt.Sprint(id, "-", n), resumedKind, id, last
		} else {
			request.id = fmt.Sprint(id, "-", n)
			id = request.id
		}
		request = f.sendCall(c, request, false, r)
		c.Close()
		s.Add([]byte(request.response.Body))
		if broke && s.LastEventID != last {
			count.resumed(time.Now())
			return
		}
		if s.LastEventID == fmt.Sprint(fake.EventCount) {
			return
		}
		if !broke && s.LastEventID != "" {
			broke = true
			count.broke()
		}
		group.Sleep(ctx, resumptionPause)
	}
}
