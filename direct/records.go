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
	// recordsPath is the peer endpoint at which a relay returns the records of all entries.
	recordsPath = "/v1/entries"
	// recordsMaxAge is the age up to which a relay returns records that it read before. It
	// is well under memberFirstRead, after which entries that start together read the
	// records of all.
	recordsMaxAge = time.Second
	// recordsTimeout bounds a call, including the relay's own read of the store.
	recordsTimeout = 500 * time.Millisecond
	// maxRecordsResponse bounds a response, in bytes: some tens of thousands of records.
	maxRecordsResponse = 4 << 20
	// recordsRetryDelay is the pause before relays whose processes are not up are called
	// again.
	recordsRetryDelay = 40 * time.Millisecond
)

// recordCache holds the records of all entries as this one last read them for others. The
// zero value is ready to use; it must not be copied.
//
// Each entry reads the records of all periodically, and all entries do at once when they
// start together. Read from the store directly, the bytes would grow with the square of
// their number.
type recordCache struct {
	mu     sync.Mutex // held while the store is read: other callers wait for the same read
	readAt time.Time
	body   []byte
	err    error
}

// encoded returns the records as they are sent, or the error of reading them. It reads them
// again if the last read is older than recordsMaxAge.
func (c *recordCache) encoded(ctx context.Context, from feed.Source[Member]) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := lease.Boottime()
	if !c.readAt.IsZero() && now.Sub(c.readAt) <= recordsMaxAge {
		return c.body, c.err
	}
	all, err := feed.ListAll(ctx, from, true)
	c.readAt, c.body, c.err = now, nil, err
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
	// Other calls wait for the same read, so it must outlive this one.
	ctx, cancel := context.WithTimeout(s.backgroundCtx, recordsTimeout)
	defer cancel()
	body, err := s.recordCache.encoded(ctx, s.Members)
	if err != nil {
		s.Log.Debug("records of the entries not available", "err", err)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if _, err := w.Write(body); err != nil {
		s.Log.Debug("records response not written", "err", err)
	}
}

// readRecords reads the records of all entries from a relay. It reads them from the store
// if no relay answers or this entry is a relay itself.
func (s *Server) readRecords(ctx context.Context) ([]feed.Item[Member], error) {
	started := time.Now()
	for {
		all, err := relay.Hedge(ctx, relay.HedgeDelay, s.peers.fleet.RelayPeers(lease.Boottime()), fetchRecords)
		if err == nil {
			return all, nil
		}
		if !errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil || time.Since(started) > recordsTimeout {
			break
		}
		group.Sleep(ctx, recordsRetryDelay)
	}
	return feed.ListAll(ctx, s.Members, true)
}

func fetchRecords(ctx context.Context, p *relay.Peer) ([]feed.Item[Member], error) {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	reply, err := p.Do(ctx, send.Request{Method: http.MethodGet, Target: recordsPath, ReadTimeout: recordsTimeout})
	if err != nil {
		return nil, err
	}
	body, err := reply.ReadAll(maxRecordsResponse)
	switch {
	case err != nil:
		return nil, err
	case reply.Status != http.StatusOK:
		return nil, errors.Errorf("direct: fetching the records of the entries: status %d", reply.Status)
	}
	return relay.Decode[Member](body)
}
