package entry

import (
	"context"
	"sync"
	"time"

	"jacinthworks/domain"
	"jacinthworks/limit"
	"jacinthworks/relay"
	"jacinthworks/wire"
)

const (
	// rateTimeout bounds one call to the owner of a caller's rate: a round trip, and a
	// delay before the remote host gets a processor.
	rateTimeout = 80 * time.Millisecond
	// maxRateCalls is how many connected entries are called, one after the other, for
	// a token of one request before this entry uses its own share of the rate.
	maxRateCalls = 2
)

// rates holds the token buckets of the callers whose rate this entry owns, the buckets
// that it uses on its own while it reaches no owner, and the refusals that it has
// received. The zero value is ready to use; it must not be copied. Its lock is a leaf
// lock: no other lock is acquired while it is held.
type rates struct {
	mu     sync.Mutex
	owned  limit.Limiter
	local  limit.Limiter
	denied limit.DenialCache
}

// start sets the start time of the process. How many requests callers sent before it is
// not known.
func (r *rates) start(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owned.Start = now
}

// take takes a token from the bucket that this entry keeps for a caller on behalf of all
// entries. A standby, which replaces an unreachable owner, has a smaller burst.
func (r *rates) take(now time.Time, a wire.RateRequest) wire.RateReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	burst := limit.Burst
	if a.Standby {
		burst = limit.StandbyBurst
	}
	wait, ok := r.owned.Take(now, a.Key, a.Rate, burst)
	return wire.RateReply{Granted: ok, Wait: wait}
}

// takeLocal takes a token from a bucket with this entry's share of the rate: the rate
// divided by the number of entries, with the burst of a standby.
func (r *rates) takeLocal(now time.Time, a wire.RateRequest, entries int) wire.RateReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait, ok := r.local.Take(now, a.Key, a.Rate/float64(max(entries, 1)), limit.StandbyBurst)
	return wire.RateReply{Granted: ok, Wait: wait}
}

// deniedWait returns the remaining wait of a cached refusal, or zero.
func (r *rates) deniedWait(now time.Time, key limit.Key) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.denied.Wait(now, key)
}

// addDenial caches the refusal of a caller for the given wait.
func (r *rates) addDenial(now time.Time, key limit.Key, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.denied.Add(now, key, wait)
}

// takeRate takes a token from the caller's bucket for the row, and returns how long to
// wait if there is none. The bucket is shared by all entries: were each entry to limit
// the rate on its own, a caller that uses all of them would get the rate once from each.
func (e *Entry) takeRate(ctx context.Context, r *request) (wait time.Duration, ok bool) {
	if r.row.CallerRate <= 0 {
		return 0, true
	}
	now := time.Now()
	rateRequest := wire.RateRequest{Key: limit.Key{Account: r.account, Service: r.service, Kind: r.kind}, Rate: r.row.CallerRate}
	by, reply := "known", wire.RateReply{Wait: e.rates.deniedWait(now, rateRequest.Key)}
	if reply.Wait <= 0 {
		reply, by = e.rateFromOwner(ctx, now, rateRequest)
	}
	if reply.Granted {
		return 0, true
	}
	e.rates.addDenial(now, rateRequest.Key, reply.Wait)
	e.Log.Info("over rate", "request", r.id, "account", r.account, "service", r.service, "kind", r.kind,
		"rate", rateRequest.Rate, "wait", reply.Wait, "by", by)
	return reply.Wait, false
}

// rateFromOwner takes a token at the owner of the rate, at the next entry in the order if
// the owner is unreachable, or here where that is this entry. It also returns the name of
// the entry that replied, or "self" or "alone".
func (e *Entry) rateFromOwner(ctx context.Context, now time.Time, rateRequest wire.RateRequest) (reply wire.RateReply, by string) {
	all := e.currentEntries().Members
	order := make([]domain.Host, 0, len(all)+1)
	self := false
	for _, m := range all {
		order = append(order, m.Host)
		self = self || m.Host == e.Settings.Name
	}
	if !self {
		order = append(order, e.Settings.Name)
	}
	relay.RendezvousSort(rateRequest.Key.OwnerKey(), order, func(h domain.Host) domain.Host { return h })
	tries := 0
	for n, h := range order {
		rateRequest.Standby = n > 0
		if h == e.Settings.Name {
			return e.rates.take(now, rateRequest), "self"
		}
		l := e.entries.Find(h)
		if l == nil || l.Peer() == nil {
			continue // not connected
		}
		if tries++; tries > maxRateCalls {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, rateTimeout)
		err := l.Peer().Call(callCtx, wire.MethodRate, rateRequest, &reply)
		cancel()
		if err == nil {
			return reply, string(h)
		}
		e.Log.Info("caller rate request failed", "entry", h, "account", rateRequest.Key.Account, "err", err)
	}
	return e.rates.takeLocal(now, rateRequest, len(order)), "alone"
}

// handleRateRequest handles another entry's request for a token of a caller's rate.
func (e *Entry) handleRateRequest(a wire.RateRequest) (any, error) {
	if a.Rate <= 0 || a.Key.Account == "" {
		return nil, &wire.RefusalError{Reason: domain.ReasonBadInput, Execution: domain.NotRun, Detail: "no rate of an account"}
	}
	return e.rates.take(time.Now(), a), nil
}
