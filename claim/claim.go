// Package claim ensures that a keyed request that must not be repeated runs at most once.
// It contains state machines only: it reads no clock, opens no connection and starts no
// goroutine. Its safety rests on fencing and never on the duration of a lease, so a process
// may be paused for any length of time at any line.
//
// A Record, read from the platform, lists the members of one service. Each key belongs to
// one of Shards shards. In each shard one member is the owner, which decides whether a key
// may run, and another member, usually in another zone, is the runner, which hands the
// request to its upstream. Owner and runner both remember the key. A member that takes a
// shard over first fences all runners of the shard and collects from them every key that
// may have run.
//
// # Usage
//
// Each side holds one Ledger. The entry that has a keyed request sends a Request to the
// owner, then sends the request itself to the runner, with the Token of the Grant:
//
//	l := claim.Ledger{Self: self}                           // on every side
//	out, err := l.Apply(record, now)                        // send the messages in out
//	g, err := l.Claim(request, now)                         // on the owner
//	err = l.Accept(dispatch, now)                           // on the runner, before its upstream
//	res, err := l.Settle(key, attempt, claim.StateRan, now) // on the runner, at the end
//	err = l.Resolve(res, now)                               // on the owner
//
// A refusal is a *Refusal; errors.As finds it. Its KeyRan field is what a caller may be told
// about the key, its AttemptNotRun field reports whether this one attempt certainly did not
// run.
package claim

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthworks/domain"
)

// Shards is the number of shards that keys are distributed over. With 9 members each owns
// about 7 shards, so that the loss of one member stops a ninth of the keys.
const Shards = 64

// Shard is the number of a shard, from 0 to Shards-1.
type Shard uint8

// Key identifies one unrepeatable request of an account: the Idempotency-Key chosen by the
// caller, within the namespace of that account.
type Key struct {
	Account domain.Account `json:"account"`
	Name    string         `json:"name"`
}

// Shard returns the shard that the key belongs to.
func (k Key) Shard() Shard {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(string(k.Account))
	d.WriteString("\x00")
	d.WriteString(k.Name)
	return Shard(d.Sum64() % Shards)
}

// BodyHash is a hash of a request's body. It detects one key used by mistake for two different
// requests; it is no protection against a body crafted to collide.
type BodyHash uint64

// HashBody returns the hash of a body.
func HashBody(body []byte) BodyHash { return BodyHash(xxhash.Sum64(body)) }

// AttemptID identifies one attempt of one request. Claims are granted and settled by
// attempt and not by request: a late "not run" of attempt 1 must not free the key while
// attempt 2 runs.
type AttemptID struct {
	Request domain.RequestID `json:"request"`
	Attempt domain.Attempt   `json:"attempt"`
}

// String returns the request and the attempt, as in entry-1.7.1/2.
func (t AttemptID) String() string {
	return string(t.Request) + "/" + strconv.FormatUint(uint64(t.Attempt), 10)
}

// Limits bounds how many keys a shard remembers, and how long. A zero field stands for its
// default.
type Limits struct {
	// KeyRetention is how long a key is remembered after it was settled. No message may be
	// delayed longer than this. Default: DefaultRetention.
	KeyRetention time.Duration
	// MaxKeys bounds the keys of one shard, counted separately for the owner and the
	// runner. A full shard refuses new keys. Default: DefaultMaxKeys.
	MaxKeys int
}

// The defaults of Limits. A day covers a caller that retries over a night; the bound allows
// 64*32,768 = 2.1 million keys, 24 a second over that day.
const (
	DefaultRetention = 24 * time.Hour
	DefaultMaxKeys   = 32768
)

func (l Limits) retention() time.Duration {
	if l.KeyRetention <= 0 {
		return DefaultRetention
	}
	return l.KeyRetention
}

func (l Limits) maxKeys() int {
	if l.MaxKeys <= 0 {
		return DefaultMaxKeys
	}
	return l.MaxKeys
}
