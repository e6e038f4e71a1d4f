// Package pacer keeps the requests that many processes together send to an upstream within the
// rate limit that the upstream states in its answers.
//
// It is built for these conditions:
//
//   - An overloaded upstream states a limit far below its usual load. If each process limited
//     only its own requests, the upstream would get many times its limit.
//   - There are many processes, and the limit is a few requests a second or less than one. If
//     the limit were divided among them, each would have one request in minutes, and processes
//     with many callers would refuse requests that the limit allows. Therefore one process, the
//     owner of the upstream's key, grants the requests of all.
//   - Requests come in bursts. Those of a burst are scheduled one after the other, as far as
//     their callers can wait.
//   - The owner crashes, is partitioned, shuts down or restarts, and other processes become
//     owner in its place. A process that may not be the only owner grants only a fraction of
//     the limit; all fractions together stay within one and a half times the limit.
//
// # Usage
//
//	var b pacer.LimitState                  // for each start of an upstream
//	changed := b.Observe(pacer.Observation{Rate: pacer.NewRate(2.4), Sent: sent, Received: received})
//
//	var k pacer.Limiter[string]             // at the owner of the key
//	d := k.Take(now, "i-1", b.Current(), reach, maxWait)
//	if !d.Granted { refuse(d.Wait) }
//	wait(d.Wait)                            // then send
//
// The package reads no clock. All times have to come from a monotonic clock.
package pacer

// Rate is the number of requests a second that an upstream accepts from all processes together.
// The zero value is no limit.
type Rate float64

const (
	// Unlimited is the absence of a limit.
	Unlimited Rate = 0
	// MinRate is the lowest rate that is enforced. An upstream that accepts nothing is still
	// sent a request now and then, as only an answer shows that the limit has ended.
	MinRate Rate = 0.1
)

// NewRate returns a limit of the stated number of requests a second, which may be zero; it is at
// least MinRate.
func NewRate(perSecond float64) Rate { return max(Rate(perSecond), MinRate) }

// Limited reports whether there is a limit.
func (r Rate) Limited() bool { return r > 0 }

// Stricter reports whether r allows fewer requests than o.
func (r Rate) Stricter(o Rate) bool { return r.Limited() && (!o.Limited() || r < o) }
