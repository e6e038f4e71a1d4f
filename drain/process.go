package drain

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"jacinthworks/domain"
)

// Process is a process that may be asked to stop, as its requests see it. The zero value is ready to use; it must not be
// copied. It is safe for concurrent use.
type Process struct {
	// Durations is what is known of how long requests take.
	Durations Durations

	stop atomic.Pointer[Stop] // nil until the stop begins
	once sync.Once
	// begun and over end when the stop begins, and when the requests in progress must be answered.
	begun, over context.Context
	begin, end  context.CancelFunc
}

func (p *Process) init() {
	p.once.Do(func() {
		p.begun, p.begin = context.WithCancel(context.Background())
		p.over, p.end = context.WithCancel(context.Background())
	})
}

// Begin begins a stop after which connections are closed. It is called once.
func (p *Process) Begin(within time.Duration) Stop {
	p.init()
	now := time.Now()
	s := Stop{Began: now, End: now.Add(within)}
	p.stop.Store(&s)
	p.begin()
	time.AfterFunc(time.Until(s.AnswerBy()), p.end)
	return s
}

// Stop returns the stop; nil if there is none.
func (p *Process) Stop() *Stop { return p.stop.Load() }

// AfterBegin calls fn, in a goroutine, once the stop begins, unless cancel is called before; see context.AfterFunc.
func (p *Process) AfterBegin(fn func()) (cancel func() bool) {
	p.init()
	return context.AfterFunc(p.begun, fn)
}

// LatestStart is the latest time at which a request of a kind may be passed on. ok is false if the process does not stop.
func (p *Process) LatestStart(kind string, deadline time.Time) (latest time.Time, ok bool) {
	s := p.stop.Load()
	if s == nil {
		return time.Time{}, false
	}
	need, known := p.Durations.Need(kind)
	return s.LatestStart(deadline, need, known), true
}

// IsTooLate reports whether the process stops before a request that is passed on now is likely to be answered.
func (p *Process) IsTooLate(kind string, deadline time.Time) bool {
	latest, stops := p.LatestStart(kind, deadline)
	return stops && time.Now().After(latest)
}

// Bound returns a context of a request that also ends, by domain.ErrStopping, when the process stops: as soon as the request
// could only be passed on too late, if it is not in progress then, and otherwise when requests in progress must be answered.
// release frees it.
func (p *Process) Bound(ctx context.Context, kind string, deadline time.Time, inProgress *atomic.Bool) (_ context.Context, release func()) {
	p.init()
	ctx, cancel := context.WithCancelCause(ctx)
	endOver := context.AfterFunc(p.over, func() { cancel(domain.ErrStopping) })
	endBegun := p.AfterBegin(func() {
		latest, _ := p.LatestStart(kind, deadline)
		late := time.NewTimer(time.Until(latest))
		defer late.Stop()
		select {
		case <-late.C:
			if !inProgress.Load() {
				cancel(domain.ErrStopping)
			}
		case <-ctx.Done():
		}
	})
	return ctx, func() {
		endOver()
		endBegun()
		cancel(nil)
	}
}
