package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// The disruption: one of the three application servers breaks off unframedPart of its answers, which have
	// no length, for unframedFor.
	unframedPart   = 0.05
	unframedFor    = 5 * time.Second
	unframedRounds = 4
)

// caseUnframed sends plain requests while a server breaks off answers that have no length.
func caseUnframed(d *deployment, trouble bool) (broken []string, err error) {
	if err := d.startServers(3, nil, nil); err != nil {
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
	var clients sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[string]int)
	for n := range 16 {
		clients.Go(func() {
			k := &client{entry: d.entries[n%len(d.entries)].front}
			defer k.close()
			for ctx.Err() == nil {
				c := call{id: newID(), method: http.MethodGet, deadline: time.Second}
				c.target = "/ascent/" + c.id
				if n%2 == 0 {
					c.method, c.target, c.body = http.MethodPost, cardPrefix+c.id, "card "+c.id
				}
				o := k.do(ctx, c)
				d.note("client %s %s %s framed=%t -> %s", c.id, c.method, c.target, o.framed, o)
				mu.Lock()
				counts[fmt.Sprintf("%d framed=%t whole=%t", o.status, o.framed, o.whole)]++
				if o.status == http.StatusOK && o.whole && o.framed && o.body != plainBody(c.target) {
					broken = append(broken, fmt.Sprintf("MIXED: %s %s got %s, framed as complete", c.method, c.target, o))
				}
				mu.Unlock()
				time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	for range unframedRounds {
		for _, s := range d.servers {
			if s.service == appService {
				if trouble {
					d.note("server %s breaks off answers without a length", s.id)
					fmt.Fprintf(s.commands, "unframed %g\n", unframedPart)
				}
				time.Sleep(unframedFor)
				fmt.Fprintln(s.commands, "unframed 0")
				break
			}
		}
		time.Sleep(time.Second)
	}
	cancel()
	clients.Wait()
	fmt.Println("clients got:", counts)
	d.note("clients got: %v", counts)
	if counts["200 framed=true whole=true"] == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	return broken, nil
}
