package direct

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/feed"
	"jacinthworks/group"
	"jacinthworks/lease"
	"jacinthworks/relay"
	"jacinthworks/send"
)

const (
	// recordsPath is where a relay gives the records of all entries.
	recordsPath = "/v1/entries"
	// recordsFresh is the age up to which a relay gives records that it has read before.
	// It is well under memberFirst, after which entries that start together read those
	// of all.
	recordsFresh = time.Second
	// recordsWithin bounds a call for them, with the relay's own reading of the store.
	recordsWithin = 500 * time.Millisecond
	// recordsMost bounds an answer, in bytes: some tens of thousands of records.
	recordsMost = 4 << 20
	// recordsAgain is the pause before relays are asked again whose processes are not up.
	recordsAgain = 40 * time.Millisecond
)

// records are those of all entries as this one read them for others. The zero value is
// ready to use; it must not be copied.
//
// Load pattern: each entry reads the records of all from time to time, and all do at once
// when they start together. At the store, the bytes are the square of their number.
type records struct {
	mu   sync.Mutex // held while the store is read: others wait for the same reading
	at   time.Time
	body []byte
	err  error
}

// packed gives the records in the form in which they are sent, or why there are none, read
// anew where that is older than recordsFresh.
func (c *records) packed(ctx context.Context, from feed.Source[Member]) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := lease.Boottime()
	if !c.at.IsZero() && now.Sub(c.at) <= recordsFresh {
		return c.body, c.err
	}
	all, err := feed.ListAll(ctx, from, true)
	c.at, c.body, c.err = now, nil, err
	if err == nil {
		c.body, c.err = relay.Encode(all)
	}
	return c.body, c.err
}

// serveRecords answers the other entries.
func (s *Server) serveRecords(w http.ResponseWriter, _ *http.Request) {
	if s.Members == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// Others wait for the same reading, so that it outlives this call.
	ctx, cancel := context.WithTimeout(s.workCtx, recordsWithin)
	defer cancel()
	body, err := s.records.packed(ctx, s.Members)
	if err != nil {
		s.Log.Debug("records of the entries not given", "err", err)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if _, err := w.Write(body); err != nil {
		s.Log.Debug("records of the entries not taken", "err", err)
	}
}

// readRecords reads the records of all entries, from a relay or, where none answers or
// this entry is one, from the store.
func (s *Server) readRecords(ctx context.Context) ([]feed.Item[Member], error) {
	began := time.Now()
	for {
		all, err := relay.Hedge(ctx, relay.HedgeDelay, s.peers.fleet.RelayPeers(lease.Boottime()), askRecords)
		if err == nil {
			return all, nil
		}
		if !errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil || time.Since(began) > recordsWithin {
			break
		}
		group.Sleep(ctx, recordsAgain)
	}
	return feed.ListAll(ctx, s.Members, true)
}

func askRecords(ctx context.Context, p *relay.Peer) ([]feed.Item[Member], error) {
	ctx, cancel := context.WithTimeout(ctx, recordsWithin)
	defer cancel()
	reply, err := p.Do(ctx, send.Request{Method: http.MethodGet, Target: recordsPath, ReadTimeout: recordsWithin})
	if err != nil {
		return nil, err
	}
	body, err := reply.ReadAll(recordsMost)
	switch {
	case err != nil:
		return nil, err
	case reply.Status != http.StatusOK:
		return nil, errors.Errorf("direct: records of the entries: status %d", reply.Status)
	}
	return relay.Decode[Member](body)
}
