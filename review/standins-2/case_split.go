package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["split"] = playSplit }

// playSplit adds streaming routes that lead to a service of plain servers, and judges how often requests on
// them are served.
func playSplit(p *play) (broken bool, err error) {
	st, err := startStore()
	if err != nil {
		return false, err
	}
	f := &fleet{p: p, store: st, onOrder: func(int) (bool, time.Duration) { return false, 0 }}
	zones := []string{"z1", "z2", "z3"}
	for n := range 9 {
		stage := "decode"
		if n < 3 {
			stage = "prefill"
		}
		f.add(fmt.Sprintf("i-%02d", n), "lm", zones[n%3], stage)
	}
	for n := range 3 {
		f.add(fmt.Sprintf("a-%d", n), "app", zones[n], "")
	}
	st.put("config", "main", configuration(7, 14000))
	d, err := newDeployment(p.root, p.dir)
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	for n := range 4 {
		d.add(fmt.Sprintf("front-%d", n+1), zones[n%3], st.addr(), bounds())
	}
	if err := d.startAll(15 * time.Second); err != nil {
		return false, err
	}
	p.logf("%d entries are ready", len(d.entries))
	time.Sleep(5 * time.Second)
	if p.trouble {
		st.put("config", "main", splitConfiguration(12))
		p.logf("configuration 12 is acknowledged: it adds a streaming route to app, and one that is split between lm and app")
	} else {
		st.put("config", "main", configuration(12, 14000))
		p.logf("configuration 12 is acknowledged: it changes nothing else")
	}
	time.Sleep(5 * time.Second) // configApplyMs is 2 s, stableWindowMs 3 s
	var c caller
	prefixes := []string{"/once/", "/again/"}
	if p.trouble {
		prefixes = append(prefixes, "/moved/", "/split/")
	}
	var all sync.WaitGroup
	for n := range 100 {
		for _, prefix := range prefixes {
			q, e := c.stream(prefix, 600, 200), d.entries[n%len(d.entries)]
			all.Go(func() { q.send(e) })
		}
		time.Sleep(50 * time.Millisecond)
	}
	all.Wait()
	recordCalls(p, f, c.calls)
	return judgeSplit(p, f, c.calls), nil
}

// judgeSplit applies the rule CONFIG: 20 or more requests on routes that were added later must not be served
// less than a quarter as often as those on the first routes.
func judgeSplit(p *play, f *fleet, calls []*call) (broken bool) {
	asked, served, unanswered, ran := make(map[string]int), make(map[string]int), make(map[string]int), make(map[string]bool)
	f.mu.Lock()
	for _, r := range f.runs {
		if !r.prefill {
			ran[r.id] = true
		}
	}
	f.mu.Unlock()
	for _, q := range calls {
		route := q.target[:len(q.target)-1]
		asked[route]++
		switch {
		case q.status == 200 && q.whole && q.stamp != "":
			served[route]++
		case q.gone():
			unanswered[route]++
			if unanswered[route] <= 5 {
				p.logf("request %s on %s, sent to %s: connection closed without an answer after %v (%v), ran: %v", q.id, route, q.entry, q.ended.Sub(q.sent).Round(time.Microsecond), q.err, ran[q.id])
			}
		}
	}
	share := func(routes ...string) float64 {
		a, s := 0, 0
		for _, r := range routes {
			a, s = a+asked[r], s+served[r]
		}
		return float64(s) / float64(max(a, 1))
	}
	for _, r := range []string{"/once/", "/again/", "/moved/", "/split/"} {
		p.logf("route %s: %d asked, %d served, %d connections closed without an answer", r, asked[r], served[r], unanswered[r])
	}
	first := share("/once/", "/again/")
	for _, r := range []string{"/moved/", "/split/"} {
		if asked[r] >= 20 && share(r) < first/4 {
			p.logf("requests on %s, which was added later, are served in %.2f of the cases, those on the first routes in %.2f", r, share(r), first)
			broken = true
		}
	}
	return broken
}
