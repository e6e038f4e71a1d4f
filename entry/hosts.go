package entry

import (
	"context"
	"time"

	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/infra"
)

// The interval at which an entry reads the platform's host list. The list only confirms,
// later, what a side reports in its heartbeat; it matters for a host whose side can no
// longer send one. The interval grows with the number of entries, so that all of them
// together read the list at most a hundred times a second.
const (
	hostsInterval         = 2 * time.Second
	hostsIntervalPerEntry = 10 * time.Millisecond
)

// watchHosts stops new work for hosts that the platform lists as leaving.
func (e *Entry) watchHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		group.Sleep(ctx, max(hostsInterval, time.Duration(len(e.entries.All()))*hostsIntervalPerEntry))
		readCtx, cancel := context.WithTimeout(ctx, callTimeout)
		listed, err := e.Hosts.Hosts(readCtx)
		cancel()
		if err != nil {
			continue // an outdated list is no reason to stop new work for a host
		}
		leaving := make(map[domain.Host]bool)
		for _, h := range listed {
			leaving[h.Host] = h.State == infra.HostLeaving
		}
		for _, l := range e.sides.All() {
			if was := l.HostLeaving.Swap(leaving[l.Member.Host]); was != leaving[l.Member.Host] {
				e.Log.Info("host list", "host", l.Member.Host, "leaving", !was)
			}
			if leaving[l.Member.Host] {
				e.schedulers.get(l.Member.Service).setDraining(l.Member.Host)
			}
		}
	}
	return nil
}
