package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["orders"] = playOrders }

// The deployment of the case: the numbers of servers are those of the site rcra-routelog-grown.
const (
	ordersPrefill = 16
	ordersDecode  = 29
	ordersEntries = 4
	// unansweredOrders is how many orders, the first ones, get no answer.
	unansweredOrders = 5
	ordersLate       = 12 * time.Second
	leaseMS          = 3 * time.Second
)

// playOrders lets the first five orders go unanswered, and judges which machines gave orders to which
// server when.
func playOrders(p *play) (broken bool, err error) {
	st, err := startStore()
	if err != nil {
		return false, err
	}
	f := &fleet{p: p, store: st}
	f.onOrder = func(n int) (bool, time.Duration) { return p.trouble && n < unansweredOrders, ordersLate }
	zones := []string{"z1", "z2", "z3", "z4"}
	for n := range ordersPrefill + ordersDecode {
		stage := "decode"
		if n < ordersPrefill {
			stage = "prefill"
		}
		f.add(fmt.Sprintf("i-%02d", n), "lm", zones[n%len(zones)], stage)
	}
	for n := range 4 {
		f.add(fmt.Sprintf("a-%d", n), "app", zones[n], "")
	}
	st.put("config", "main", configuration(7, 14000))
	d, err := newDeployment(p.root, p.dir)
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	for n := range ordersEntries {
		d.add(fmt.Sprintf("front-%d", n+1), zones[n], st.addr(), bounds())
	}
	if err := d.startAll(15 * time.Second); err != nil {
		return false, err
	}
	p.logf("%d entries are ready", len(d.entries))
	time.Sleep(10 * time.Second) // traffic starts 10 s after the machines do
	p.logf("traffic begins")
	var c caller
	var all sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < 30*time.Second; n++ {
		q, e := c.stream("/again/", 1000, 390), d.entries[n%len(d.entries)]
		all.Go(func() { q.send(e) })
		time.Sleep(time.Until(begin.Add(time.Duration(n+1) * 25 * time.Millisecond)))
	}
	all.Wait()
	recordCalls(p, f, c.calls)
	answered := 0
	for _, q := range c.calls {
		if q.status == 200 && q.whole {
			answered++
		}
	}
	p.logf("%d streams sent, %d answered whole", len(c.calls), answered)
	if answered < len(c.calls)/2 {
		return false, fmt.Errorf("only %d of %d streams were answered", answered, len(c.calls))
	}
	return judgeOrders(p, f)
}

// judgeOrders applies the rule ONE to the orders that each server got: holders must not take turns
// within leaseMs.
func judgeOrders(p *play, f *fleet) (broken bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.orders) == 0 {
		return false, fmt.Errorf("no order was given")
	}
	holders, unanswered := make(map[string][2]time.Time), 0
	last := make(map[string]order)
	for _, o := range f.orders {
		if o.status == 0 {
			unanswered++
		}
		span, known := holders[o.holder]
		if !known {
			span[0] = o.at
		}
		span[1] = o.at
		holders[o.holder] = span
		before, known := last[o.server]
		if gap := o.at.Sub(before.at); known && before.holder != o.holder && gap < leaseMS {
			p.logf("server %s got an order of %s (fence %d) %v after one of %s (fence %d)", o.server, o.holder, o.fence, gap.Round(time.Millisecond), before.holder, before.fence)
			broken = true
		}
		last[o.server] = o
	}
	for name, span := range holders {
		p.logf("%s gave orders from %.3f s to %.3f s", name, p.since(span[0]), p.since(span[1]))
	}
	p.logf("%d orders, %d of them without an answer", len(f.orders), unanswered)
	return broken, nil
}
