package direct

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/fresh"
	"jacinthworks/group"
	"jacinthworks/infra"
	"jacinthworks/meter"
	"jacinthworks/origin"
)

const (
	// shardPrefix is the collection of the records of streams in the store, by number of shard.
	shardPrefix = "stream_origins/"
	// shardInterval is the least time between two writings of a shard, and shardRetryInterval that after one
	// that failed.
	shardInterval      = 100 * time.Millisecond
	shardRetryInterval = 500 * time.Millisecond
	// appointmentLife is how long an entry writes a shard after another one found those before it silent.
	appointmentLife = 5 * time.Second
)

// ledgerReader and shardReader share readings of one record in the store.
type (
	ledgerReader = fresh.Reader[infra.Version]
	shardReader  = fresh.Reader[origin.Shard]
)

// shardVersion is the version at which this entry last knew a shard in the store.
type shardVersion struct {
	at    infra.Version
	known bool
}

// shardKey is the key by which the owner of a shard is determined.
func shardKey(n int) string { return "streams/" + strconv.Itoa(n) }

// keepShard writes the records of a shard that are new while a service has several versions.
func (s *Server) keepShard(ctx context.Context, n int) error {
	if !s.usesLedger() {
		return nil
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.stored.shardsDue[n]:
		}
		wait := shardInterval
		if s.ownsShard(n) && s.origins.TakeChanged(n) {
			if err := s.writeShard(ctx, n); err != nil {
				s.Log.Info("records of streams not written", "shard", n, "err", err)
				s.Meter.Inc("jacinthworks_stored_origins_total", meter.Labels{"record", "shard", "outcome", "not_written"})
				s.origins.RestoreChanged(n)
				signal(s.stored.shardsDue[n])
				wait = shardRetryInterval
			}
		}
		group.Sleep(ctx, wait)
	}
}

// signalAllShards has the records of all streams written that the store is to have.
func (s *Server) signalAllShards() {
	s.origins.MarkChanged()
	for _, due := range s.stored.shardsDue {
		signal(due)
	}
}

// signalShard has the record of a stream written, if the store is to have it.
func (s *Server) signalShard(record origin.Record) {
	if s.usesLedger() && s.stored.book.Several(record.Origin.Service) {
		signal(s.stored.shardsDue[origin.KeyOf(record.Request).Shard()])
	}
}

// writeShardFor has this entry write a shard for a time although others precede it.
func (s *Server) writeShardFor(n int, life time.Duration) {
	s.stored.appointedUntil[n].Store(time.Now().Add(life).UnixNano())
	signal(s.stored.shardsDue[n])
}

// ownsShard reports whether this entry writes a shard: it comes first among those that answer, as far as it or
// another entry knows.
func (s *Server) ownsShard(n int) bool {
	if time.Now().UnixNano() < s.stored.appointedUntil[n].Load() {
		return true
	}
	for _, o := range s.shardOrder(n) {
		if o.Peer == nil {
			return true
		}
		if allowed, _ := s.unresponsive.MayAsk(time.Now(), o.Peer); allowed {
			return false
		}
	}
	return true
}

// writeShard writes a shard, with what other entries have written there.
func (s *Server) writeShard(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	held := &s.stored.shardVersions[n]
	for range maxLedgerWrites {
		if !held.known {
			at, err := s.mergeShard(ctx, n)
			if err != nil {
				return err
			}
			held.at, held.known = at, true
		}
		shard, dropped := s.origins.Shard(time.Now(), n, resumableFor(s.longestTimeout()), s.stored.book.Several)
		if len(shard.Groups) == 0 {
			return nil
		}
		value, err := json.Marshal(shard)
		if err != nil {
			return errors.Wrap(err, "direct: encoding records of streams")
		}
		at, err := s.Records.Put(ctx, shardPrefix+strconv.Itoa(n), value, held.at)
		held.at, held.known = at, err == nil
		switch {
		case err == nil:
			s.Log.Debug("records of streams written", "shard", n, "groups", len(shard.Groups), "bytes", len(value))
			s.Meter.Inc("jacinthworks_stored_origins_total", meter.Labels{"record", "shard", "outcome", "written"})
			if dropped > 0 {
				s.Log.Warn("records of streams beyond the bound of a shard not written", "shard", n, "count", dropped)
			}
			return nil
		case !errors.Is(err, infra.ErrConflict):
			return err
		}
	}
	return infra.ErrConflict
}

// mergeShard takes over the records of a shard in the store, and returns the version at which it can be
// written.
func (s *Server) mergeShard(ctx context.Context, n int) (infra.Version, error) {
	o, err := s.Records.Get(ctx, shardPrefix+strconv.Itoa(n))
	if errors.Is(err, infra.ErrNotFound) {
		return o.Version, nil
	}
	if err != nil {
		return 0, err
	}
	s.origins.Merge(time.Now(), s.decodeShard(o.Value, n), resumableFor(s.longestTimeout()))
	return o.Version, nil
}

// readShard reads a shard.
func (s *Server) readShard(ctx context.Context, n int) (origin.Shard, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	o, err := s.Records.Get(ctx, shardPrefix+strconv.Itoa(n))
	if errors.Is(err, infra.ErrNotFound) {
		return origin.Shard{}, nil
	}
	if err != nil {
		s.Meter.Inc("jacinthworks_stored_origins_total", meter.Labels{"record", "shard", "outcome", "not_read"})
		return origin.Shard{}, err
	}
	return s.decodeShard(o.Value, n), nil
}

// decodeShard decodes a shard; one that is invalid has no records.
func (s *Server) decodeShard(value []byte, n int) origin.Shard {
	shard, err := origin.DecodeShard(value, n)
	if err != nil {
		s.Log.Warn("records of streams are invalid and not used", "shard", n, "err", err)
		s.Meter.Inc("jacinthworks_stored_origins_total", meter.Labels{"record", "shard", "outcome", "invalid"})
	}
	return shard
}
