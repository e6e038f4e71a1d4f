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
	// resumeStreams streams are begun within resumeBegin, and take about 8 s: 390 tokens in events of 260 ms.
	resumeStreams = 64
	resumeBegin   = 2500 * time.Millisecond
	resumeOut     = 390
	// dropped is the number of streams whose connections break before, at the callers' side.
	dropped = 14
	// resumeDeadline is how long a caller waits in all, and resumeTries how often it takes its stream up.
	resumeDeadline = 14 * time.Second
	resumeTries    = 5
	// restartAfter is the time from the kill of a process until it is started again.
	restartAfter = 800 * time.Millisecond
	// minResumed is the least number of streams of which the rule speaks.
	minResumed = 12
)

// resumption is what became of a stream that its caller took up again.
type resumption struct {
	inTouch, wentOn bool
}

// caseResume has callers take up their streams again, at other entries, first after their own connections
// broke, and then after all entries were killed at the same moment and started again.
func caseResume(d *deployment, trouble bool) (broken []string, err error) {
	if err := d.startServers(9, []string{"-step", "20ms"}, nil); err != nil {
		return nil, err
	}
	d.store.putSpec("config", "main", configuration(3, false))
	if err := d.startEntries(4); err != nil {
		return nil, err
	}
	if err := d.waitReady(20 * time.Second); err != nil {
		return nil, err
	}
	// A stream without a record is taken up only after the registry was followed for 30 s.
	time.Sleep(5 * time.Second)

	r := &resumer{d: d}
	r.fresh(8)
	r.streams(dropped, func(ctx context.Context, cut context.CancelFunc) {
		time.Sleep(time.Duration(2000+rand.IntN(500)) * time.Millisecond)
		cut()
	})
	r.wait()
	before := r.count("connections of callers broken")
	begunAt := time.Now()
	r.streams(resumeStreams, func(context.Context, context.CancelFunc) {})
	time.Sleep(time.Until(begunAt.Add(resumeBegin + 1500*time.Millisecond)))
	if trouble {
		d.note("all entries are killed")
		for _, e := range d.entries {
			e.outOfTouch()
			e.signal(killSignal)
		}
		for _, e := range d.entries {
			<-e.ended
		}
		time.Sleep(restartAfter)
		for _, e := range d.entries {
			e.fields["bootstrap"] = false
			if err := d.startEntry(e); err != nil {
				return nil, err
			}
		}
		d.note("all entries are started again")
		time.Sleep(stableWindow + 500*time.Millisecond)
		r.fresh(24)
	}
	r.wait()
	after := r.count("in all")
	if before.resumed < minResumed {
		return nil, fmt.Errorf("%d streams were taken up before the kill, want %d", before.resumed, minResumed)
	}
	if after.begun == 0 {
		return nil, fmt.Errorf("no new stream began")
	}
	began := float64(after.begun) / float64(after.fresh)
	wentOn := float64(after.wentOn) / float64(after.resumed)
	if wentOn < began/2 {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d streams that callers took up at machines in touch went on, %d of %d new streams began", after.wentOn, after.resumed, after.begun, after.fresh))
	}
	return broken, nil
}

// resumer runs the callers.
type resumer struct {
	d       *deployment
	callers sync.WaitGroup

	mu      sync.Mutex
	resumed []resumption
	// started counts the new streams, and begun those that began.
	started, begun int
	// answers counts the answers to streams taken up, by status.
	answers map[string]int
}

// totals are what became of the streams.
type totals struct{ resumed, wentOn, fresh, begun int }

func (r *resumer) count(when string) (t totals) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.fresh, t.begun = r.started, r.begun
	for _, x := range r.resumed {
		if x.inTouch {
			t.resumed++
			if x.wentOn {
				t.wentOn++
			}
		}
	}
	text := fmt.Sprintf("%s: %d of %d streams taken up at machines in touch went on, %d of %d new streams began; answers to streams taken up: %v", when, t.wentOn, t.resumed, t.begun, t.fresh, r.answers)
	r.d.note("%s", text)
	fmt.Println(text)
	return t
}

func (r *resumer) wait() { r.callers.Wait() }

// entry returns an entry other than the given one.
func (r *resumer) entry(except *process) *process {
	for {
		if e := r.d.entries[rand.IntN(len(r.d.entries))]; e != except {
			return e
		}
	}
}

func (r *resumer) call() call {
	c := call{id: newID(), deadline: resumeDeadline, method: http.MethodPost, in: 400, out: resumeOut}
	c.target = resumedPrefix + "wall" + c.id
	c.parts, c.body = fmt.Sprintf("5c1e07a2:200,%s:200", newHex()), "history "+c.id
	return c
}

// fresh sends short new streams, to see that they begin.
func (r *resumer) fresh(n int) {
	for range n {
		r.callers.Go(func() {
			e := r.entry(nil)
			c := r.call()
			c.out = stride
			k := &client{entry: e.front}
			defer k.close()
			o := k.do(context.Background(), c)
			r.d.note("client new stream %s at %s -> %s", c.id, e.name, o)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.started++
			if o.status == http.StatusOK && o.whole {
				r.begun++
			}
		})
		time.Sleep(40 * time.Millisecond)
	}
}

// streams begins streams. during may break a stream's connection.
func (r *resumer) streams(n int, during func(ctx context.Context, cut context.CancelFunc)) {
	for range n {
		r.callers.Go(func() { r.stream(during) })
		time.Sleep(resumeBegin / resumeStreams)
	}
}

func (r *resumer) stream(during func(ctx context.Context, cut context.CancelFunc)) {
	c := r.call()
	end := time.Now().Add(resumeDeadline)
	e := r.entry(nil)
	ctx, cut := context.WithCancel(context.Background())
	defer cut()
	go during(ctx, cut)
	k := &client{entry: e.front}
	o := k.do(ctx, c)
	k.close()
	r.d.note("client stream %s at %s -> %s", c.id, e.name, o)
	r.mu.Lock()
	r.started++
	if o.status == http.StatusOK && lastEvent(o.body) > 0 {
		r.begun++
	}
	r.mu.Unlock()
	if o.whole || lastEvent(o.body) == 0 {
		return
	}
	last, first := lastEvent(o.body), c.id
	var x resumption
	pause := time.Duration(300+rand.IntN(400)) * time.Millisecond
	for range resumeTries {
		time.Sleep(pause)
		left := time.Until(end)
		if left < 500*time.Millisecond {
			break
		}
		pause *= 2
		e = r.entry(e)
		inTouch := e.inTouch(time.Now())
		c.id, c.deadline, c.lastEvent, c.resumes = newID(), left, fmt.Sprint(last), first
		k := &client{entry: e.front}
		o := k.do(context.Background(), c)
		k.close()
		r.d.note("client takes stream %s up after event %d as %s at %s, in touch %t -> %s", first, last, c.id, e.name, inTouch, o)
		if inTouch {
			x.inTouch = true
			r.mu.Lock()
			if r.answers == nil {
				r.answers = make(map[string]int)
			}
			r.answers[fmt.Sprint(o.status)]++
			r.mu.Unlock()
		}
		if o.status == http.StatusOK && (lastEvent(o.body) > last || o.whole) {
			x.wentOn = true
			break
		}
		pause = max(pause, o.retryAfter)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resumed = append(r.resumed, x)
}

// lastEvent returns the id of the last whole event of a stream, zero for none.
func lastEvent(body string) (last int) {
	for {
		event, rest, whole := strings.Cut(body, "\n\n")
		if !whole {
			return last
		}
		_, _ = fmt.Sscanf(event, "id: %d", &last)
		body = rest
	}
}
