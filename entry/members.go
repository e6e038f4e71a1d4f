package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/group"
	"jacinthworks/member"
	"jacinthworks/plat"
	"jacinthworks/wire"
	"jacinthworks/work"
)

// How long the watch of a record waits at the platform, and how long a
// failed one rests. At 650 entries and ten services, thirty seconds are 217
// calls a second, a tenth of the platform's reads.
const (
	watchWait = 30 * time.Second
	watchRest = 500 * time.Millisecond
)

// watchMembers follows the record of each service in the table.
func (e *Entry) watchMembers(ctx context.Context) error {
	var g group.Group
	watched := make(map[work.Service]bool)
	t := time.NewTicker(watchRest)
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

// watchRecord follows one service's record.
func (e *Entry) watchRecord(ctx context.Context, s work.Service, apply func(member.Record) bool) error {
	var at member.Record
	for ctx.Err() == nil {
		o, err := e.Objects.Watch(ctx, member.Name(s), at.Version, watchWait)
		if err == nil {
			next, err := member.Parse(o)
			if err == nil && apply(next) {
				e.Log.Info("members", "service", s, "version", next.Version, "count", len(next.Members))
				at = next
				continue
			}
		}
		if err != nil && !errors.Is(err, plat.ErrUnchanged) {
			at = e.recordFromPeers(ctx, s, at, apply)
		}
		pause(ctx, watchRest)
	}
	return nil
}

// recordFromPeers asks the other entries for a record while the platform does
// not give it, and gives the newest known. An entry that starts during an
// outage learns its sides this way.
func (e *Entry) recordFromPeers(ctx context.Context, s work.Service, at member.Record, apply func(member.Record) bool) member.Record {
	for _, l := range e.entries.Connected() {
		var got member.Record
		try, cancel := context.WithTimeout(ctx, callWithin)
		err := l.Call(try, wire.MethodMembers, wire.MembersAsk{Service: s, Have: uint64(at.Version)}, &got)
		cancel()
		if err == nil && got.Version > at.Version && apply(got) {
			e.Log.Info("members", "service", s, "version", got.Version, "count", len(got.Members), "from", l.Member.Host)
			at = got
		}
	}
	return at
}
