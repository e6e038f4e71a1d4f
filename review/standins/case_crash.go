package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// crashedServers is the number of model servers, of nine, that crash at the same time, and
	// crashedFor the time until others have started in their places.
	crashedServers = 2
	crashedFor     = 4500 * time.Millisecond
	// askedEvery is how often an inspector asks for the summary of the wall after that, and askedFor
	// for how long.
	askedEvery = 500 * time.Millisecond
	askedFor   = 45 * time.Second
)

// caseCrash has two inspectors ask for the summary of one wall within a moment. Two model servers crash
// while they write it.
func caseCrash(d *deployment, trouble bool) (broken []string, err error) {
	// A step of 13 ms: 170 tokens take 2.2 s.
	if err := d.startServers(9, []string{"-step", "13ms"}, nil); err != nil {
		return nil, err
	}
	d.store.putSpec("config", "main", configuration(3, false))
	if err := d.startEntries(4); err != nil {
		return nil, err
	}
	if err := d.waitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	sent, refused := 0, make(map[int]int)
	ask := func(k *client, c call) outcome {
		o := k.do(ctx, c)
		if ctx.Err() != nil {
			return o
		}
		d.note("client %s %s %s -> %s", c.id, c.method, c.target, o)
		mu.Lock()
		defer mu.Unlock()
		sent++
		if o.status/100 == 3 || o.status/100 == 4 && o.status != 408 && o.status != 421 && o.status != 429 {
			if o.stamp == "" {
				refused[o.status]++
			}
		}
		return o
	}
	wall := func() call { return wallCall("wall-17") }

	var others sync.WaitGroup
	for n := range 8 { // other requests, no two alike
		others.Go(func() {
			k := &client{entry: d.entries[n%len(d.entries)].front}
			defer k.close()
			for ctx.Err() == nil {
				if n%2 == 0 {
					ask(k, wallCall("other-"+newHex()))
				} else {
					ask(k, call{id: newID(), method: http.MethodGet, target: "/ascent/" + newHex(), deadline: time.Second})
				}
				time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)

	// Two inspectors, at two entries, until they are served by two servers.
	var inspectors sync.WaitGroup
	var at []string
	for try := 0; len(at) < crashedServers && try < 20; try++ {
		at = nil
		seen := len(d.serverEvents())
		for n := range 2 {
			inspectors.Go(func() {
				k := &client{entry: d.entries[n].front}
				defer k.close()
				ask(k, wall())
			})
		}
		for range 15 {
			time.Sleep(100 * time.Millisecond)
			if at = serversOf(d.serverEvents()[seen:], wall().target); len(at) >= crashedServers {
				break
			}
		}
		if len(at) < crashedServers {
			inspectors.Wait()
		}
	}
	if len(at) < crashedServers {
		return nil, fmt.Errorf("the two requests never ran at two servers")
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		var all []*serverProcess
		for _, id := range at[:crashedServers] {
			d.note("model server %s crashes", id)
			all = append(all, d.servers[id])
			delete(d.servers, id)
		}
		for _, s := range all {
			s.signal(killSignal)
		}
		for _, s := range all {
			<-s.ended
		}
		inspectors.Wait()
		time.Sleep(crashedFor)
		for _, s := range all {
			next, err := d.startServer(s.service, s.stage, s.zone, "-step", "13ms")
			if err != nil {
				return nil, err
			}
			d.note("model server %s starts in the place of %s", next.id, s.id)
		}
	} else {
		inspectors.Wait()
	}
	time.Sleep(stableWindow + 2*heartbeat)
	mu.Lock()
	sent, refused = 0, make(map[int]int)
	mu.Unlock()

	var asking sync.WaitGroup
	for end := time.Now().Add(askedFor); time.Now().Before(end); time.Sleep(askedEvery) {
		asking.Go(func() {
			k := &client{entry: d.entries[rand.IntN(len(d.entries))].front}
			defer k.close()
			ask(k, wall())
		})
	}
	asking.Wait()
	mu.Lock()
	total, denied := sent, 0
	for _, n := range refused {
		denied += n
	}
	detail := fmt.Sprint(refused)
	mu.Unlock()
	cancel()
	others.Wait()
	bound := 5 + float64(total)/500
	d.note("from %s after the crash on: %d requests, %d ended with a 3xx or 4xx of the entries %s, bound %.1f", stableWindow, total, denied, detail, bound)
	fmt.Printf("%d requests, %d ended with a 3xx or 4xx of the entries %s, bound %.1f\n", total, denied, detail, bound)
	if float64(denied) > bound {
		broken = append(broken, fmt.Sprintf("DENIED: %d of %d proper requests ended with a 3xx or 4xx of the entries %s, more than %.1f", denied, total, detail, bound))
	}
	return broken, nil
}

// wallCall is the request for the summary of a wall. The same wall has the same path and body, whoever
// asks.
func wallCall(wall string) call {
	return call{
		id: newID(), deadline: 14 * time.Second, method: http.MethodPost, target: streamPrefix + wall, body: "history of " + wall + strings.Repeat(" h", 1000),
		in: 3200, out: 170, parts: "5c1e07a2:200,91bd3f06:3000",
	}
}

// serversOf returns the servers that run a target.
func serversOf(events []serverEvent, target string) (all []string) {
	seen := make(map[string]bool)
	for _, e := range events {
		if e.What == "runs" && e.Target == target && !seen[e.Server] {
			seen[e.Server] = true
			all = append(all, e.Server)
		}
	}
	return all
}
