package direct

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/clock"
	"jacinthworks/group"
	"jacinthworks/infra"
	"jacinthworks/origin"
)

// The ledger of versions is one record in the store; see origin.Ledger. Each entry reads it when it starts
// and when a version comes that it has not seen there; the one that comes first adds it.
const (
	ledgerName = "stream_versions/main"
	// ledgerPath is the peer endpoint that returns the ledger as an entry knows it.
	ledgerPath = "/v1/stream_versions"
	// ledgerInterval is how often the entry that removes unused versions reads the ledger, and
	// ledgerMissingInterval how often one does at which a version is missing there.
	ledgerInterval        = 10 * time.Second
	ledgerMissingInterval = time.Second
	// ledgerTimeout bounds one reading or writing. The first reading delays readiness.
	ledgerTimeout = 500 * time.Millisecond
	// ledgerSpread is the time for each entry over which all but the first owner of the ledger spread
	// their readings after a change that all see at once, and maxLedgerSpread bounds it.
	ledgerSpread    = 2 * time.Millisecond
	maxLedgerSpread = 400 * time.Millisecond
	// ledgerPoll is how often a request looks whether a version is listed.
	ledgerPoll = 5 * time.Millisecond
	// ledgerPeerTries is how often in a row an entry relies on others for a version that is missing, and
	// ledgerPeerWait how long it waits for those that have just started to read the ledger.
	ledgerPeerTries = 5
	ledgerPeerWait  = 400 * time.Millisecond
	// maxLedgerWrites is how often an entry reads and writes in a row after conflicts.
	maxLedgerWrites = 3
)

// storedOrigins is what this entry knows of the records of streams in the store, and when it has to read or
// write them.
type storedOrigins struct {
	// callMu is held during each call for the ledger, so that the book learns their outcomes in their order. No
	// other lock is acquired while it is held, but the book's own.
	callMu sync.Mutex
	book   origin.Book
	routes atomic.Pointer[resumableRoutes]
	// upstreamsKnown is closed once the registry was listed.
	upstreamsKnown     chan struct{}
	upstreamsKnownOnce sync.Once
	// ledgerDue signals that the ledger is to be read.
	ledgerDue chan struct{}
	// tried is closed once the ledger was read, or could not be.
	tried     chan struct{}
	triedOnce sync.Once
	// shardsDue signals for each shard that records of streams are to be written.
	shardsDue     [origin.Shards]chan struct{}
	shardVersions [origin.Shards]shardVersion
	// appointedUntil is until when this entry writes a shard although others precede it, in Unix nanoseconds.
	appointedUntil [origin.Shards]atomic.Int64
	ledgerReads    ledgerReader
	shardReads     [origin.Shards]shardReader
}

// signal makes a channel with one place readable.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // already signalled
	}
}

// setTried records that the ledger was read, or could not be.
func (o *storedOrigins) setTried() { o.triedOnce.Do(func() { close(o.tried) }) }

// keepLedger reads the ledger when it is due, and writes what is missing.
func (s *Server) keepLedger(ctx context.Context) error {
	if !s.usesLedger() {
		s.stored.setTried()
		return nil
	}
	for _, known := range []<-chan struct{}{s.configured, s.stored.upstreamsKnown} {
		select {
		case <-ctx.Done():
			return nil
		case <-known:
		}
	}
	again := time.Duration(0)
	for n := 0; ctx.Err() == nil; n++ {
		due := n == 0 || s.waitLedger(ctx, again) || again > 0
		missing := s.observeVersions()
		again = s.updateLedger(ctx, due, missing, n%ledgerPeerTries == 0)
		if n == 0 {
			s.stored.setTried()
		}
	}
	return nil
}

// updateLedger learns what the ledger lists, from another entry if one has read it, and writes what is to be
// written. again is the time until that is due once more; zero is none.
func (s *Server) updateLedger(ctx context.Context, due, missing, always bool) (again time.Duration) {
	if !s.mustReadLedger(ctx, due, missing, always) {
		return 0
	}
	again, err := s.syncLedger(ctx)
	if err != nil {
		s.Log.Info("ledger of versions not synchronized", "missing", missing, "err", err)
		return ledgerMissingInterval
	}
	return again
}

// mustReadLedger reports whether this entry has to read the ledger in the store itself. For a version that is missing it
// first asks the entries that relay the store; with always it does not rely on them if they lack the version too.
func (s *Server) mustReadLedger(ctx context.Context, due, missing, always bool) bool {
	switch {
	case s.keepsLedger():
		return true
	case !missing:
		return due && s.stored.book.IsRead()
	}
	relayed := s.askPeersForLedger(ctx)
	if !s.observeVersions() {
		return false
	}
	return always || !relayed
}

// waitLedger waits until the ledger is to be looked at again, and reports whether something was signalled.
func (s *Server) waitLedger(ctx context.Context, again time.Duration) (due bool) {
	wait := ledgerInterval
	if again > 0 {
		wait = min(wait, max(again, ledgerTimeout/10))
	}
	if s.observeVersions() {
		wait = min(wait, ledgerMissingInterval)
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-s.stored.ledgerDue:
		due = true
		if !s.keepsLedger() {
			group.Sleep(ctx, rand.N(min(time.Duration(s.peers.fleet.MemberCount())*ledgerSpread, maxLedgerSpread)))
		}
	}
	return due
}

// syncLedger reads the ledger and writes what has to be added or removed. again is the time until that may
// have to be done once more; zero is none.
func (s *Server) syncLedger(ctx context.Context) (again time.Duration, err error) {
	for range maxLedgerWrites {
		at, err := s.readLedger(ctx)
		if err != nil {
			return 0, err
		}
		s.observeVersions()
		next, write, again := s.stored.book.Plan(clock.Boottime(), s.ledgerConditions())
		if !write {
			return again, nil
		}
		err = s.writeLedger(ctx, next, at)
		if err == nil {
			s.observeVersions()
			return again, nil
		}
		if !errors.Is(err, infra.ErrConflict) {
			return 0, err
		}
	}
	return ledgerMissingInterval, nil
}

// ledgerConditions returns the circumstances under which the ledger is written.
func (s *Server) ledgerConditions() origin.Conditions {
	longest := s.longestTimeout()
	return origin.Conditions{
		Resumable: resumableFor(longest), Resumption: longest, Started: s.startBoottime,
		Prune: s.keepsLedger(), Confirmed: s.roster.Confirmed().Until,
	}
}

// keepsLedger reports whether this entry removes unused versions from the ledger.
func (s *Server) keepsLedger() bool {
	return !s.Settings.PeerListen.IsValid() || s.isFirstOwner(ledgerName)
}
