// Package pacer keeps what many processes together send to an upstream within the
// rate limit that the upstream states in its answers.
//
// The load patterns it answers, and what happens without it:
//
//   - An upstream in need states a limit far below its usual load. Without a count
//     over all processes each of them sends what placement gives it, and the upstream
//     gets many times its limit.
//   - Many processes, and a limit of a few requests a second or less than one. Shared
//     out among them, a process has one request in minutes, and what the limit allows
//     is refused by those that have callers. One process counts for all here.
//   - Requests come in clumps. Those of a clump are given times to be sent, one after
//     the other, as far as their callers can wait.
//   - The process that counts is killed, cut off, leaves or starts again, and others
//     count in its place. Each that can't be sure to be the only one gives out a part;
//     all parts together stay within one and a half times the limit.
//
// # Usage
//
//	var b pacer.LimitState                      // of each start of an upstream
//	changed := b.Learn(pacer.Observation{Rate: pacer.NewRate(2.4), Sent: sent, Heard: heard})
//
//	var k pacer.Limiter[string]              // at the process that counts
//	v := k.Take(now, "i-1", b.Statement(), standing, within)
//	if !v.Granted { refuse(v.Wait) }
//	wait(v.Wait)                            // then send
//
// The package reads no clock. Times are on one that does not step.
package pacer

// Rate is how many requests a second an upstream takes of all processes together. The
// zero value is no limit.
type Rate float64

const (
	// Unlimited is no limit.
	Unlimited Rate = 0
	// MinRate is the lowest rate that is kept. An upstream that takes nothing is sent a
	// request now and then: only an answer tells that the limit has ended.
	MinRate Rate = 0.1
)

// NewRate gives the limit of a stated number of requests a second, zero included.
func NewRate(perSecond float64) Rate { return max(Rate(perSecond), MinRate) }

// Limited says whether there is a limit.
func (r Rate) Limited() bool { return r > 0 }

// Stricter says whether r allows less than o.
func (r Rate) Stricter(o Rate) bool { return r.Limited() && (!o.Limited() || r < o) }
