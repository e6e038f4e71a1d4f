package entry

import (
	"context"
	"time"

	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/infra"
)

// How often the host list is read. It only confirms, late, what a side says
// itself by its heartbeat; its use is a host whose side cannot say so any more.
// The time grows with the number of entries, so that all together read it at
// most a hundred times a second.
const (
	hostsEvery    = 2 * time.Second
	hostsPerEntry = 10 * time.Millisecond
)

// watchHosts keeps new work from hosts that the platform lists as leaving.
func (e *Entry) watchHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		group.Sleep(ctx, max(hostsEvery, time.Duration(len(e.entries.All()))*hostsPerEntry))
		read, cancel := context.WithTimeout(ctx, callWithin)
		listed, err := e.Hosts.Hosts(read)
		cancel()
		if err != nil {
			continue // an old list says nothing worth keeping work away for
		}
		leaving := make(map[domain.Host]bool)
		for _, h := range listed {
			leaving[h.Host] = h.State == infra.HostLeaving
		}
		for _, l := range e.sides.All() {
			if was := l.Leaving.Swap(leaving[l.Member.Host]); was != leaving[l.Member.Host] {
				e.Log.Info("host list", "host", l.Member.Host, "leaving", !was)
			}
			if leaving[l.Member.Host] {
				e.schedulers.of(l.Member.Service).shut(l.Member.Host)
			}
		}
	}
	return nil
}
