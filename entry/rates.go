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
	// rateWithin bounds a call for a caller's rate: a round trip, and a host that waits
	// for its share of a processor.
	rateWithin = 80 * time.Millisecond
	// rateTries is how many entries are asked in turn.
	rateTries = 2
)

// rates are what this entry counts of callers for all entries, what it counts for itself
// while it reaches none that counts, and whom it was told to refuse. The zero value is
// ready to use; it must not be copied. Its lock is a leaf.
type rates struct {
	mu    sync.Mutex
	all   limit.Limiter
	alone limit.Limiter
	told  limit.DenialCache
}

// begin notes the start of the process.
func (r *rates) begin(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all.Start = now
}

// count counts a request for all entries.
func (r *rates) count(now time.Time, a wire.RateRequest) wire.RateReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	burst := limit.Burst
	if a.Standby {
		burst = limit.StandbyBurst
	}
	wait, ok := r.all.Take(now, a.Of, a.Rate, burst)
	return wire.RateReply{Granted: ok, Wait: wait}
}

// countAlone counts a request against this entry's share, among so many entries.
func (r *rates) countAlone(now time.Time, a wire.RateRequest, entries int) wire.RateReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait, ok := r.alone.Take(now, a.Of, a.Rate/float64(max(entries, 1)), limit.StandbyBurst)
	return wire.RateReply{Granted: ok, Wait: wait}
}

// known gives how long the caller is known to have nothing.
func (r *rates) known(now time.Time, of limit.Key) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.told.Wait(now, of)
}

// note remembers a caller that has to wait.
func (r *rates) note(now time.Time, of limit.Key, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told.Add(now, of, wait)
}

// takeRate counts a request against its caller's rate for the row, over all entries.
//
// Failure: each entry counts for itself, and a caller that uses all of them has its rate
// as many times.
func (e *Entry) takeRate(ctx context.Context, r *request) (wait time.Duration, ok bool) {
	if r.row.CallerRate <= 0 {
		return 0, true
	}
	now := time.Now()
	ask := wire.RateRequest{Of: limit.Key{Account: r.account, Service: r.service, Kind: r.kind}, Rate: r.row.CallerRate}
	by, rated := "known", wire.RateReply{Wait: e.rates.known(now, ask.Of)}
	if rated.Wait <= 0 {
		rated, by = e.askRate(ctx, now, ask)
	}
	if rated.Granted {
		return 0, true
	}
	e.rates.note(now, ask.Of, rated.Wait)
	e.Log.Info("over rate", "request", r.id, "account", r.account, "service", r.service, "kind", r.kind,
		"rate", ask.Rate, "wait", rated.Wait, "by", by)
	return rated.Wait, false
}

// askRate asks the entry that counts, or the next one, or counts here where that is this
// one. It says by whom the answer is.
func (e *Entry) askRate(ctx context.Context, now time.Time, ask wire.RateRequest) (rated wire.RateReply, by string) {
	all := e.entriesRecord().Members
	order := make([]domain.Host, 0, len(all)+1)
	self := false
	for _, m := range all {
		order = append(order, m.Host)
		self = self || m.Host == e.Settings.Name
	}
	if !self {
		order = append(order, e.Settings.Name)
	}
	relay.RendezvousSort(ask.Of.OwnerKey(), order, func(h domain.Host) domain.Host { return h })
	tries := 0
	for n, h := range order {
		ask.Standby = n > 0
		if h == e.Settings.Name {
			return e.rates.count(now, ask), "self"
		}
		l := e.entries.Find(h)
		if l == nil || l.Peer() == nil {
			continue // it is known not to answer
		}
		if tries++; tries > rateTries {
			break
		}
		call, cancel := context.WithTimeout(ctx, rateWithin)
		err := l.Peer().Call(call, wire.MethodRate, ask, &rated)
		cancel()
		if err == nil {
			return rated, string(h)
		}
		e.Log.Info("rate not counted there", "entry", h, "account", ask.Of.Account, "err", err)
	}
	return e.rates.countAlone(now, ask, len(order)), "alone"
}

// giveRate answers another entry.
func (e *Entry) giveRate(a wire.RateRequest) (any, error) {
	if a.Rate <= 0 || a.Of.Account == "" {
		return nil, &wire.RefusalError{Reason: domain.ReasonBadInput, Ran: domain.NotRun, Detail: "no rate of an account"}
	}
	return e.rates.count(time.Now(), a), nil
}
