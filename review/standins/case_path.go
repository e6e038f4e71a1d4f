package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// pathRequests is the number of requests before and after the configuration changes, pathEvery the
	// time between two, and oddPathEach how many there are for each whose path begins with an empty
	// segment.
	pathRequests = 200
	pathEvery    = 20 * time.Millisecond
	oddPathEach  = 10
	// configApply is the time within which a configuration has to be in force.
	configApply = 2 * time.Second
)

// casePath sends requests of which some have paths that begin with an empty segment. The disruption is a
// configuration that adds a route for all paths.
func casePath(d *deployment, trouble bool) (broken []string, err error) {
	if err := d.startServers(3, nil, nil); err != nil {
		return nil, err
	}
	d.store.putSpec("config", "main", configuration(3, false))
	if err := d.startEntries(2); err != nil {
		return nil, err
	}
	if err := d.waitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(configApply)
	asked := make(map[string]string)
	counts := make(map[string]int)
	for n := range 2 * pathRequests {
		if trouble && n == pathRequests {
			d.note("configuration 5 adds a route with the prefix %q", otherPrefix)
			d.store.putSpec("config", "main", configuration(5, true))
			time.Sleep(configApply)
		}
		c := call{id: newID(), method: http.MethodGet, target: fmt.Sprintf("/ascent/%d/climbs?page=%d", rand.IntN(1000), n), deadline: time.Second}
		kind := "usual path"
		if n%oddPathEach == 0 {
			kind, c.target = "path with an empty first segment", "/"+c.target
		}
		asked[c.id] = c.target
		k := &client{entry: d.entries[n%len(d.entries)].front}
		o := k.do(context.Background(), c)
		k.close()
		d.note("client %s %s %s -> %s", c.id, c.method, c.target, o)
		counts[fmt.Sprintf("%s: %d", kind, o.status)]++
		time.Sleep(pathEvery)
	}
	time.Sleep(300 * time.Millisecond)
	for _, e := range d.serverEvents() {
		if e.What == "runs" && e.Target != asked[e.ID] {
			broken = append(broken, fmt.Sprintf("UNASKED: request %s was sent for %s and ran for %s, path %s, at %s", e.ID, asked[e.ID], e.Target, e.Note, e.Server))
		}
	}
	fmt.Println("clients got:", counts)
	d.note("clients got: %v", counts)
	if counts["usual path: 200"] == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	return broken, nil
}
