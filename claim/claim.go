// Package claim makes a keyed request that must not be repeated run at most
// once. It holds state machines only: it reads no clock, opens no connection
// and starts no goroutine. Its safety rests on fencing, never on a lease's
// time, so a process may be paused for any length at any line.
//
// A Record, read from the platform, lists the members of one service. A key
// falls in one of Shards shards. In each shard one member is the owner, which
// decides whether a key may run, and a runner, usually in another zone, hands
// the request to its upstream. Owner and runner both remember the key. A
// member that takes a shard over fences all runners of the shard first and
// learns from them every key that may have run.
//
// # Usage
//
// Each side holds one Book. The entry that has a keyed request asks the owner,
// then sends the request to the runner with the stamp it was given:
//
//	b := claim.Ledger{Self: self}                      // on every side
//	out, err := b.Learn(record, now)                 // send what out holds
//	g, err := b.Claim(ask, now)                      // on the owner
//	err = b.Accept(dispatch, now)                    // on the runner, before its upstream
//	res, err := b.Settle(key, try, claim.StateRan, now) // on the runner, at the end
//	b.Resolve(res, now)                              // on the owner
//
// A refusal is a *Refusal; errors.As finds it. Its Ran is what may be said of
// the key to a caller, its TryNotRun what is known of this one try.
package claim

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthworks/domain"
)

// Shards is the number of shards that keys are spread over. With 9 members
// each owns about 7, so that one lost member stops a ninth of the keys.
const Shards = 64

// Shard numbers a shard, from 0 to Shards-1.
type Shard uint8

// Key names one unrepeatable request of an account: the Idempotency-Key as
// given by the caller, in that account's own space.
type Key struct {
	Account domain.Account `json:"account"`
	Name    string         `json:"name"`
}

// Shard gives the shard that the key falls in.
func (k Key) Shard() Shard {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(string(k.Account))
	d.WriteString("\x00")
	d.WriteString(k.Name)
	return Shard(d.Sum64() % Shards)
}

// Body is a hash of a request's body. It tells an honest mistake (one key for
// two requests) from a repeat; it is no defence against a forged body.
type Body uint64

// HashBody gives the hash of a body.
func HashBody(body []byte) Body { return Body(xxhash.Sum64(body)) }

// AttemptID is one attempt of one request. Claims are made and settled by try and
// not by request: a late "not run" of attempt 1 must not free attempt 2.
type AttemptID struct {
	Request domain.RequestID `json:"request"`
	Attempt domain.Attempt   `json:"attempt"`
}

// String gives the request and the attempt.
func (t AttemptID) String() string {
	return string(t.Request) + "/" + strconv.FormatUint(uint64(t.Attempt), 10)
}

// Limits bounds what a shard remembers. The zero value takes the defaults.
type Limits struct {
	// Retention is how long a key is remembered after it was settled. No
	// message may be delayed longer than this. Default: DefaultRetention.
	Retention time.Duration
	// MaxKeys bounds the keys of one shard, counted apart for the owner and
	// the runner. A full shard refuses new keys. Default: DefaultMaxKeys.
	MaxKeys int
}

// The defaults of Limits. A day covers a caller's retries over a night; the
// bound gives 64*32,768 = 2.1 million keys, 24 a second over that day.
const (
	DefaultRetention = 24 * time.Hour
	DefaultMaxKeys   = 32768
)

func (l Limits) retention() time.Duration {
	if l.Retention <= 0 {
		return DefaultRetention
	}
	return l.Retention
}

func (l Limits) maxKeys() int {
	if l.MaxKeys <= 0 {
		return DefaultMaxKeys
	}
	return l.MaxKeys
}
