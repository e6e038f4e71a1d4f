package direct

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/clock"
	"jacinthworks/feed"
	"jacinthworks/group"
	"jacinthworks/relay"
	"jacinthworks/send"
)

const (
	// entryRecordsPath is the peer endpoint at which a relay returns the records of all
	// entries.
	entryRecordsPath = "/v1/entries"
	// entryRecordsMaxAge is the age up to which a relay returns records that it read before. It
	// is well under memberFirstReadDelay, after which entries that start together read the
	// records of all.
	entryRecordsMaxAge = time.Second
	// entryRecordsTimeout bounds a call for the records, including the relay's own read of the
	// store.
	entryRecordsTimeout = 500 * time.Millisecond
	// maxEntryRecordsResponse bounds a response with the records, in bytes: some tens of
	// thousands of records.
	maxEntryRecordsResponse = 4 << 20
	// entryRecordsRetryDelay is the pause before relays whose processes are not up are called
	// again.
	entryRecordsRetryDelay = 40 * time.Millisecond
)

// entryRecordCache holds the records of all entries as this one last read them for others. The
// zero value is ready to use; it must not be copied.
//
// Each entry reads the records of all periodically, and all entries do at once when they
// start together. Read from the store directly, the bytes would grow with the square of
// their number.
type entryRecordCache struct {
	mu     sync.Mutex // held while the store is read: other callers wait for the same read
	readAt time.Time
	body   []byte
	err    error
}

// encoded returns the records as they are sent, or the error of reading them. It reads them
// again if the last read is older than entryRecordsMaxAge.
func (c *entryRecordCache) encoded(ctx context.Context, from feed.Source[Member]) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Boottime()
	if !c.readAt.IsZero() && now.Sub(c.readAt) <= entryRecordsMaxAge {
		return c.body, c.err
	}
	all, err := feed.ListAll(ctx, from, true)
	c.readAt, c.body, c.err = now, nil, err
	if err == nil {
		c.body, c.err = relay.Encode(all)
	}
	return c.body, c.err
}

// serveEntryRecords returns the records of all entries to another entry.
func (s *Server) serveEntryRecords(w http.ResponseWriter, _ *http.Request) {
	if s.Members == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// Other calls wait for the same read, so it must outlive this one.
	ctx, cancel := context.WithTimeout(s.backgroundCtx, entryRecordsTimeout)
	defer cancel()
	body, err := s.entryRecordCache.encoded(ctx, s.Members)
	if err != nil {
		s.Log.Debug("records of the entries not available", "err", err)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if _, err := w.Write(body); err != nil {
		s.Log.Debug("records response not written", "err", err)
	}
}

// readEntryRecords reads the records of all entries from a relay. It reads them from the store
// if no relay answers or this entry is a relay itself.
func (s *Server) readEntryRecords(ctx context.Context) ([]feed.Item[Member], error) {
	started := time.Now()
	for {
		all, err := relay.Hedge(ctx, relay.HedgeDelay, s.peers.fleet.RelayPeers(clock.Boottime()), fetchEntryRecords)
		if err == nil {
			return all, nil
		}
		if !errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil || time.Since(started) > entryRecordsTimeout {
			break
		}
		group.Sleep(ctx, entryRecordsRetryDelay)
	}
	return feed.ListAll(ctx, s.Members, true)
}

func fetchEntryRecords(ctx context.Context, p *relay.Peer) ([]feed.Item[Member], error) {
	ctx, cancel := context.WithTimeout(ctx, entryRecordsTimeout)
	defer cancel()
	reply, err := p.Do(ctx, send.Request{Method: http.MethodGet, Target: entryRecordsPath, ReadTimeout: entryRecordsTimeout})
	if err != nil {
		return nil, err
	}
	body, err := reply.ReadAll(maxEntryRecordsResponse)
	switch {
	case err != nil:
		return nil, err
	case reply.Status != http.StatusOK:
		return nil, errors.Errorf("direct: fetching the records of the entries: status %d", reply.Status)
	}
	return relay.Decode[Member](body)
}
