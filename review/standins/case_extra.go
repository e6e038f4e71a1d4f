package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// The disruption: on extraShare of the model servers, extraPart of the answers are sent a second
	// time, late, for extraFor; then there is none for extraPause.
	extraShare  = 0.6
	extraPart   = 0.03
	extraFor    = 5 * time.Second
	extraPause  = 2 * time.Second
	extraRounds = 8
)

// caseExtra sends streams that may be resumed, and look-ups, while some model servers answer some calls a
// second time.
func caseExtra(d *deployment, trouble bool) (broken []string, err error) {
	if err := d.startServers(9, nil, nil); err != nil {
		return nil, err
	}
	d.store.putSpec("config", "main", configuration(3, false))
	if err := d.startEntries(4); err != nil {
		return nil, err
	}
	if err := d.waitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[string]int)
	report := func(c call, o outcome, want string) {
		d.note("client %s %s %s -> %s", c.id, c.method, c.target, o)
		mu.Lock()
		defer mu.Unlock()
		counts[fmt.Sprintf("%d whole=%t", o.status, o.whole)]++
		if o.status/100 == 2 && o.whole && (o.stamp == "" || o.body != want) {
			broken = append(broken, fmt.Sprintf("MIXED: request %s (%s) got %s", c.id, c.target, o))
		}
	}
	for n := range 24 {
		clients.Go(func() {
			k := &client{entry: d.entries[n%len(d.entries)].front}
			defer k.close()
			for ctx.Err() == nil {
				c := call{id: newID(), deadline: 14 * time.Second, method: http.MethodPost}
				var want string
				if n%3 > 0 {
					c.in, c.out = 800+rand.IntN(2400), 13+rand.IntN(60)
					c.target = resumedPrefix + "wall" + c.id
					c.parts = fmt.Sprintf("5c1e07a2:200,%s:%d", newHex(), c.in-200)
					c.body = strings.Repeat("h", 1000)
					want = streamText(c)
				} else {
					c.method, c.deadline, c.target = http.MethodGet, time.Second, "/ascent/"+c.id
					want = plainBody(c.target)
				}
				report(c, k.do(ctx, c), want)
				time.Sleep(time.Duration(50+rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	which := os.Getenv("EXTRA")
	if which == "" {
		which = "all"
	}
	for range extraRounds {
		var some []*serverProcess
		for _, s := range d.servers {
			if s.service == modelService {
				some = append(some, s)
			}
		}
		rand.Shuffle(len(some), func(a, b int) { some[a], some[b] = some[b], some[a] })
		some = some[:int(extraShare*float64(len(some)))]
		for _, s := range some {
			if trouble {
				d.note("second answers begin at %s", s.id)
				fmt.Fprintf(s.commands, "extra %g %s\n", extraPart, which)
			}
		}
		time.Sleep(extraFor)
		for _, s := range some {
			fmt.Fprintln(s.commands, "extra 0 ids")
		}
		time.Sleep(extraPause)
	}
	cancel()
	clients.Wait()
	fmt.Println("clients got:", counts)
	d.note("clients got: %v", counts)
	extras := 0
	for _, e := range d.serverEvents() {
		if e.What == "extra" {
			extras++
		}
	}
	fmt.Println("second answers:", extras)
	if counts["200 whole=true"] == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	return broken, nil
}

// streamText is the whole answer to a stream.
func streamText(c call) string {
	var b strings.Builder
	for n := 1; n <= eventsOf(c.out); n++ {
		b.WriteString(eventText(c.target, n))
	}
	return b.String()
}
