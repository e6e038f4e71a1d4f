package entry

import (
	"context"
	"time"

	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/member"
	"jacinthworks/wire"
)

// Times of the watches of membership records and of the table: how long one watch waits
// at the platform for a change, and the delay after a watch that failed.
const (
	watchTimeout    = member.WatchWait
	watchRetryDelay = member.WatchRetryDelay
)

// watchMembers watches the membership record of each service in the table.
func (e *Entry) watchMembers(ctx context.Context) error {
	var g group.Group
	watched := make(map[domain.Service]bool)
	t := time.NewTicker(watchRetryDelay)
	defer t.Stop()
	for ctx.Err() == nil {
		for _, s := range e.services() {
			if watched[s] {
				continue
			}
			watched[s] = true
			g.Go(ctx, "members of "+string(s), func(ctx context.Context) error { return e.watchRecord(ctx, s, e.sides.Apply) })
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
	g.Wait()
	return nil
}

// watchRecord watches the membership record of one service and passes each newer version
// to apply.
func (e *Entry) watchRecord(ctx context.Context, s domain.Service, apply func(member.Record) bool) error {
	return member.Watch(ctx, e.Objects, s, func(r member.Record) bool {
		taken := apply(r)
		if taken {
			e.Log.Info("members", "service", s, "version", r.Version, "count", len(r.Members))
		}
		return taken
	}, func(ctx context.Context, at member.Record) member.Record { return e.recordFromPeers(ctx, s, at, apply) })
}

// recordFromPeers requests a membership record from the other entries while the platform
// does not return it, and returns the newest version. An entry that starts during an
// outage of the platform finds its sides this way.
func (e *Entry) recordFromPeers(ctx context.Context, s domain.Service, at member.Record, apply func(member.Record) bool) member.Record {
	for _, l := range e.entries.Connected() {
		var got member.Record
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := l.Call(callCtx, wire.MethodMembers, wire.MembersRequest{Service: s, HaveVersion: uint64(at.Version)}, &got)
		cancel()
		if err == nil && got.Version > at.Version && apply(got) {
			e.Log.Info("members", "service", s, "version", got.Version, "count", len(got.Members), "from", l.Member.Host)
			at = got
		}
	}
	return at
}
