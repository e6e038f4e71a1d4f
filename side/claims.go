package side

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/claim"
	"jacinthworks/links"
	"jacinthworks/member"
	"jacinthworks/wire"
	"jacinthworks/work"
)

// Times of claims. None of them bears on safety, which rests on fences alone;
// they set how soon a shard is served again. A member that owns nothing waits
// for a lost owner's heartbeats to be missed (0.8 s) and takeOverAfter, longer
// by takeOverStep for each rank before its own, so that one and not all of
// them takes over.
const (
	claimEvery    = 100 * time.Millisecond
	takeOverAfter = 600 * time.Millisecond
	takeOverStep  = 400 * time.Millisecond
	// firstOwnerAfter is the wait where no owner was ever heard of, as when a
	// service starts: long enough to hear of one that there is.
	firstOwnerAfter = 300 * time.Millisecond
	expireEvery     = time.Minute
	claimWithin     = 400 * time.Millisecond
	// retention is how long a key is remembered: a caller's retries over an
	// evening. At the letter's two keyed requests a second and side it is
	// 43,200 keys.
	retention = 6 * time.Hour
	// recordQuiet is how long a record must stand before the book learns it,
	// recordLatest the longest that it waits. A service that starts changes
	// its record a dozen times in a tenth of a second, and each change would
	// move shards on before the last move has arrived.
	recordQuiet  = 150 * time.Millisecond
	recordLatest = time.Second
	// overdueAfter is how long a key may stay granted before its runner is
	// asked what became of it: longer than any deadline in use, since a try
	// that is asked about before it arrives is refused for good.
	overdueAfter = 15 * time.Minute
)

// claims is the side's part in claiming: its book, the other members, and who
// is known to own which shard. Its lock is taken before no other.
type claims struct {
	book    claim.Book
	members links.Directory

	mu     sync.Mutex
	peers  map[*wire.Peer]bool
	owners map[claim.Shard]ownerSeen
	missed map[claim.Shard]time.Time
	told   []claim.Ownership
	// next is the newest record not learned yet.
	next              *claim.Record
	nextAt, nextSince time.Time
	// settled is the version at which nothing was pending any more; only
	// keepClaims uses it.
	settled uint64
	// asked is when another member last asked for something.
	asked time.Time
}

// ownerSeen is the newest owner of a shard that was heard of, and from whom.
type ownerSeen struct {
	host  work.Host
	epoch claim.Epoch
}

func (s *Side) initClaims() {
	c := &s.claims
	c.book.Self = claim.Process{Host: s.Settings.Name, Incarnation: s.incarnation}
	c.book.Limits = claim.Limits{Retention: retention}
	c.book.Live = c.live
	c.peers = make(map[*wire.Peer]bool)
	c.owners = make(map[claim.Shard]ownerSeen)
	c.missed = make(map[claim.Shard]time.Time)
	local := *s.local()
	local.Opened, local.Closed = nil, nil
	local.Notice = func(p *wire.Peer, method string, params json.RawMessage) {
		var o wire.Owned
		if method == wire.MethodOwned && json.Unmarshal(params, &o) == nil {
			c.hear(p.Remote().Host, o.Shards)
		}
	}
	c.members.Local = &local
}

// live says whether a member may be given a shard: connected, or so new that
// it has not been dialled yet.
func (c *claims) live(p claim.Process) bool {
	l := c.members.Find(p.Host)
	return l != nil && l.Member.Process() == p && (l.Peer() != nil || l.FailedDials() < 2)
}

// opened and closed keep the connections that others made to this side.
func (c *claims) opened(p *wire.Peer, s work.Service) {
	c.mu.Lock()
	c.peers[p] = true
	c.mu.Unlock()
	_ = p.Notify(wire.MethodOwned, wire.Owned{Service: s, Shards: c.book.Owned()})
}

func (c *claims) closed(p *wire.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.peers, p)
}

// hear notes which shards another member owns.
func (c *claims) hear(from work.Host, shards []claim.Ownership) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := make(map[claim.Shard]bool, len(shards))
	for _, o := range shards {
		held[o.Shard] = true
		_ = c.book.Superseded(o.Shard, o.Epoch) // errs on a shard that there is not
		if seen := c.owners[o.Shard]; !o.Epoch.Less(seen.epoch) {
			c.owners[o.Shard] = ownerSeen{host: from, epoch: o.Epoch}
		}
	}
	for shard, seen := range c.owners {
		if seen.host == from && !held[shard] {
			c.owners[shard] = ownerSeen{epoch: seen.epoch}
		}
	}
}

// followRecord dials the members of each record.
func (s *Side) followRecord(ctx context.Context) error {
	return member.Follow(ctx, s.Objects, s.Settings.Service, func(r member.Record) bool {
		others := r
		others.Members = nil
		for _, m := range r.Members {
			if m.Claims() && m.Host != s.Settings.Name {
				others.Members = append(others.Members, m)
			}
		}
		if !s.claims.members.Apply(others) {
			return false
		}
		s.claims.expect(r.Claims, time.Now())
		return true
	}, nil)
}

// expect keeps a record until it has stood long enough to be learned.
func (c *claims) expect(r claim.Record, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Version <= c.book.Record().Version {
		return
	}
	if c.next == nil {
		c.nextSince = now
	}
	c.next, c.nextAt = &r, now
}

// due gives the record to learn now, or nil.
func (c *claims) due(now time.Time) *claim.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil || now.Sub(c.nextAt) < recordQuiet && now.Sub(c.nextSince) < recordLatest {
		return nil
	}
	r := c.next
	c.next = nil
	return r
}

func (s *Side) learn(ctx context.Context, r claim.Record) {
	out, err := s.claims.book.Learn(r, time.Now())
	if err != nil {
		s.Log.Error("claims record", "version", r.Version, "err", err)
		return
	}
	s.Log.Info("claims record", "version", r.Version, "members", len(r.Members))
	s.deliver(ctx, out)
}

// keepClaims drives the book until the context ends.
func (s *Side) keepClaims(ctx context.Context) error {
	t := time.NewTicker(claimEvery)
	defer t.Stop()
	expired := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			if r := s.claims.due(now); r != nil {
				s.learn(ctx, *r)
			}
			pending := s.claims.book.Pending(now)
			s.deliver(ctx, pending)
			s.noteSettled(pending)
			s.takeOver(ctx, now)
			s.tellOwned(pending)
			if now.Sub(expired) >= expireEvery {
				expired = now
				s.claims.book.Expire(now)
				s.askOverdue(ctx, now)
			}
		}
	}
}

// noteSettled logs once for each version of the record that nothing is pending
// any more: from then on the loss of one host, or of one zone, leaves no key
// in doubt that did not run there.
func (s *Side) noteSettled(o claim.Outbox) {
	r := s.claims.book.Record()
	if len(o.Fences)+len(o.Restores)+len(o.Handovers) > 0 || r.Version == s.claims.settled {
		return
	}
	owned := s.claims.book.Owned()
	for n := range claim.Shards {
		rank, member := r.Rank(claim.Shard(n), s.claims.book.Self)
		ours := slices.ContainsFunc(owned, func(o claim.Ownership) bool { return o.Shard == claim.Shard(n) && o.Complete })
		if member && rank == 0 && !ours {
			return
		}
	}
	s.claims.settled = r.Version
	s.Log.Info("claims settled", "version", r.Version, "shards", len(owned))
}

// askOverdue finds out what became of keys that were granted long ago. The
// failure: the message that told how a try ended was lost, and so was its
// entry. It shows as a key in progress for good.
func (s *Side) askOverdue(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, claimWithin)
	defer cancel()
	for _, o := range s.claims.book.Overdue(overdueAfter, now) {
		var found claim.Resolution
		if s.callMember(ctx, o.To.Host, wire.MethodAsk, o, &found) == nil {
			_ = s.claims.book.Resolve(found, now) // errs on a shard that there is not
		}
	}
}

// takeOver starts to own shards whose owner has not been heard for long enough.
func (s *Side) takeOver(ctx context.Context, now time.Time) {
	if s.draining.Load() {
		return
	}
	r := s.claims.book.Record()
	own := make(map[claim.Shard]bool)
	for _, o := range s.claims.book.Owned() {
		own[o.Shard] = true
	}
	for n := range claim.Shards {
		shard := claim.Shard(n)
		rank, member := r.Rank(shard, s.claims.book.Self)
		if !member || own[shard] || s.ownerLives(shard) {
			s.claims.forgive(shard)
			continue
		}
		wait := takeOverAfter
		if !s.claims.heardOwner(shard) {
			wait = firstOwnerAfter
		}
		wait += time.Duration(rank) * takeOverStep
		if s.claims.miss(shard, now) < wait {
			continue
		}
		s.claims.forgive(shard)
		out, err := s.claims.book.TakeOver(shard, now)
		s.Log.Info("takes shard over", "shard", shard, "version", r.Version, "rank", rank, "err", err)
		s.deliver(ctx, out)
	}
}

// ownerLives says whether a shard's newest owner is connected.
func (s *Side) ownerLives(n claim.Shard) bool {
	s.claims.mu.Lock()
	seen := s.claims.owners[n]
	s.claims.mu.Unlock()
	if seen.host == "" {
		return false
	}
	l := s.claims.members.Find(seen.host)
	return l != nil && l.Peer() != nil
}

// heardOwner says whether any owner of the shard was ever heard of.
func (c *claims) heardOwner(n claim.Shard) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, known := c.owners[n]
	return known
}

func (c *claims) forgive(n claim.Shard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.missed, n)
}

// miss gives how long the shard has been without an owner.
func (c *claims) miss(n claim.Shard, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.missed[n]; !known {
		c.missed[n] = now
	}
	return now.Sub(c.missed[n])
}

// tellOwned tells every connection of the shards owned, when that changed. A
// shard is told as complete once its runners are vouched for, too: an entry
// that has just started waits for that, so that a host lost in a service's
// first second leaves no key in doubt.
func (s *Side) tellOwned(pending claim.Outbox) {
	c := &s.claims
	owned := c.book.Owned()
	for _, r := range pending.Restores {
		for i := range owned {
			if owned[i].Shard == r.Shard {
				owned[i].Complete = false
			}
		}
	}
	c.mu.Lock()
	if equal(owned, c.told) {
		c.mu.Unlock()
		return
	}
	c.told = owned
	peers := make([]*wire.Peer, 0, len(c.peers))
	for p := range c.peers {
		peers = append(peers, p)
	}
	c.mu.Unlock()
	for _, p := range peers {
		_ = p.Notify(wire.MethodOwned, wire.Owned{Service: s.Settings.Service, Shards: owned})
	}
}

func equal(a, b []claim.Ownership) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// deliver sends a book's messages, each to its receiver at the same time, and
// takes the answers. What is lost is pending still and is sent again.
func (s *Side) deliver(ctx context.Context, out claim.Outbox) {
	to := make(map[work.Host][]func(context.Context) error)
	for _, m := range out.Fences {
		to[m.To.Host] = append(to[m.To.Host], func(ctx context.Context) error { return s.sendFence(ctx, m) })
	}
	for _, m := range out.Restores {
		to[m.To.Host] = append(to[m.To.Host], func(ctx context.Context) error { return s.sendRestore(ctx, m) })
	}
	for _, m := range out.Handovers {
		to[m.To.Host] = append(to[m.To.Host], func(ctx context.Context) error { return s.sendHandover(ctx, m) })
	}
	if len(to) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimWithin)
	defer cancel()
	done := make(chan struct{}, len(to))
	started := 0
	for host, sends := range to {
		ok := s.work.Go(ctx, "claims to "+string(host), func(ctx context.Context) error {
			defer func() { done <- struct{}{} }()
			for _, send := range sends {
				if err := send(ctx); err != nil {
					return err
				}
			}
			return nil
		})
		if ok {
			started++
		}
	}
	for range started {
		<-done
	}
}

// callMember reaches another member, or this side itself.
func (s *Side) callMember(ctx context.Context, host work.Host, method string, params, result any) error {
	if host == s.Settings.Name {
		return s.callSelf(method, params, result)
	}
	l := s.claims.members.Find(host)
	if l == nil {
		return wire.ErrNotSent
	}
	return l.Call(ctx, method, params, result)
}

// callSelf passes a message to this side as if it had come from another.
func (s *Side) callSelf(method string, params, result any) error {
	text, err := json.Marshal(params)
	if err != nil {
		return errors.Wrap(err, "side")
	}
	answer, err, _ := s.handleClaims(method, text)
	if err != nil {
		return err
	}
	if text, err = json.Marshal(answer); err != nil {
		return errors.Wrap(err, "side")
	}
	return errors.Wrap(json.Unmarshal(text, result), "side")
}

func (s *Side) sendFence(ctx context.Context, m claim.FenceOrder) error {
	var got wire.Fenced
	if err := s.callMember(ctx, m.To.Host, wire.MethodFence, m, &got); err != nil {
		return err
	}
	if got.Refusal != nil {
		return s.claims.book.Superseded(m.Shard, got.Refusal.Epoch)
	}
	if got.Reply == nil {
		return errors.New("side: empty answer to a fence")
	}
	next, err := s.claims.book.Fenced(*got.Reply, time.Now())
	for _, r := range next.Restores {
		if err := s.sendRestore(ctx, r); err != nil {
			return err
		}
	}
	return err
}

func (s *Side) sendRestore(ctx context.Context, m claim.Restore) error {
	var got claim.RestoreReply
	if err := s.callMember(ctx, m.To.Host, wire.MethodRestore, m, &got); err != nil {
		return err
	}
	return s.claims.book.Restored(got)
}

func (s *Side) sendHandover(ctx context.Context, m claim.Handover) error {
	taken := false
	if err := s.callMember(ctx, m.To.Host, wire.MethodHandover, m, &taken); err != nil {
		return err
	}
	if !taken {
		return nil
	}
	s.Log.Info("shard handed over", "shard", m.Shard, "to", m.To.Host, "epoch", m.Epoch.String(), "keys", len(m.Entries))
	return s.claims.book.Delivered(m.Shard)
}

// handleClaims answers the calls of claiming; false for other methods.
func (s *Side) handleClaims(method string, params json.RawMessage) (any, error, bool) {
	now := time.Now()
	s.claims.wasAsked(now)
	b := &s.claims.book
	var answer any
	var err error
	switch method {
	case wire.MethodClaim:
		answer, err = wire.Decode(params, func(a claim.ClaimAsk) (any, error) { return claimed(b.Claim(a, now)) })
	case wire.MethodResolve:
		answer, err = wire.Decode(params, func(r claim.Resolution) (any, error) { return struct{}{}, b.Resolve(r, now) })
	case wire.MethodAsk:
		answer, err = wire.Decode(params, func(o claim.AskOrder) (any, error) { return b.Ask(o, now) })
	case wire.MethodFence:
		answer, err = wire.Decode(params, func(o claim.FenceOrder) (any, error) { return fenced(b.Fence(o, now)) })
	case wire.MethodRestore:
		answer, err = wire.Decode(params, func(r claim.Restore) (any, error) { return b.Restore(r, now) })
	case wire.MethodHandover:
		answer, err = wire.Decode(params, func(h claim.Handover) (any, error) {
			out, taken, err := b.TakeHandover(h, now)
			s.work.Go(s.workCtx, "after handover", func(ctx context.Context) error { s.deliver(ctx, out); return nil })
			return taken, err
		})
	default:
		return nil, nil, false
	}
	return answer, err, true
}

func (c *claims) wasAsked(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = now
}

// quiet says how long nobody has asked for anything.
func (c *claims) quiet(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.asked)
}

// lingerForFences stays until nobody asks any more. The failure: a runner
// leaves after its shards were handed over and before their new owner fenced
// it. It shows as keys that stay unvouched although everybody stopped in order.
// Waiting for a pause of three rounds holds, since an owner asks every round
// until it has its answer.
func (s *Side) lingerForFences(ctx context.Context) {
	s.claims.wasAsked(time.Now())
	for ctx.Err() == nil && s.claims.quiet(time.Now()) < 3*claimEvery {
		select {
		case <-ctx.Done():
		case <-time.After(claimEvery):
		}
	}
}

func claimed(g claim.Grant, err error) (any, error) {
	var r *claim.Refusal
	if errors.As(err, &r) {
		return wire.Claimed{Refusal: r}, nil
	}
	return wire.Claimed{Grant: &g}, err
}

func fenced(f claim.FenceReply, err error) (any, error) {
	var r *claim.Refusal
	if errors.As(err, &r) {
		return wire.Fenced{Refusal: r}, nil
	}
	return wire.Fenced{Reply: &f}, err
}

// retireClaims hands every owned shard to the next member that is connected,
// at a planned stop, for as long as ctx allows.
func (s *Side) retireClaims(ctx context.Context) {
	b := &s.claims.book
	for ctx.Err() == nil {
		owned := b.Owned()
		if len(owned) == 0 {
			return
		}
		for _, o := range owned {
			heir, found := s.heirOf(o.Shard)
			if !found {
				continue
			}
			out, err := b.Retire(o.Shard, heir, time.Now())
			if err != nil {
				s.Log.Warn("shard not handed over", "shard", o.Shard, "err", err)
			}
			s.deliver(ctx, out)
		}
		s.deliver(ctx, b.Pending(time.Now()))
		select {
		case <-ctx.Done():
		case <-time.After(claimEvery):
		}
	}
}

// heirOf gives the next member in rank that is connected and not draining.
func (s *Side) heirOf(n claim.Shard) (claim.Process, bool) {
	r := s.claims.book.Record()
	passed := false
	for _, m := range r.Ranked(n) {
		if m.Process() == s.claims.book.Self {
			passed = true
			continue
		}
		l := s.claims.members.Find(m.Host)
		if passed && l != nil && l.Usable() {
			return m.Process(), true
		}
	}
	return claim.Process{}, false
}
