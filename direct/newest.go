package direct

import (
	"context"
	"encoding/gob"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/feed"
	"jacinthworks/group"
	"jacinthworks/paths"
	"jacinthworks/relay"
	"jacinthworks/send"
)

const (
	// configPath is where an entry gives the configuration that it has in force.
	configPath = "/v1/configuration"
	// configAsked is how many others an entry asks at its start, and configWithin bounds
	// a call, in which a configuration of some thousand routes is passed on.
	configAsked  = 3
	configWithin = 250 * time.Millisecond
	// configMost bounds an answer, in bytes.
	configMost = 8 << 20
)

// serveConfig answers an entry that starts.
func (s *Server) serveConfig(w http.ResponseWriter, _ *http.Request) {
	c := s.holder.Current()
	if c == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := gob.NewEncoder(w).Encode(c); err != nil {
		s.Log.Debug("configuration not taken", "err", err)
	}
}

// askConfigs takes the newest configuration that some other entries have in force, where
// the store may ever have come back from a copy.
//
// Failure: an entry starts after the store has come back from an older copy, and before
// the operators have written what it lacks. It serves routes and keys that were taken
// away, which no other entry does.
func (s *Server) askConfigs(ctx context.Context, known []feed.Item[Member]) {
	if !slices.ContainsFunc(known, func(i feed.Item[Member]) bool { return i.Revision.MayBeRestored() }) {
		return
	}
	others := drawn(s.peers.fleet.Others(len(known)), configAsked)
	var calls group.Group
	for _, p := range others {
		calls.Go(ctx, "configuration of "+string(p.Name), func(ctx context.Context) error {
			c, err := askConfig(ctx, p)
			if err != nil {
				s.Log.Debug("configuration not given", "entry", p.Name, "err", err)
				return nil
			}
			s.offerConfig(time.Now(), c, string(p.Name))
			return nil
		})
	}
	calls.Wait()
}

func askConfig(ctx context.Context, p *relay.Peer) (*paths.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, configWithin)
	defer cancel()
	reply, err := p.Do(ctx, send.Request{Method: http.MethodGet, Target: configPath, ReadTimeout: configWithin})
	if err != nil {
		return nil, err
	}
	defer reply.Close()
	if reply.Status != http.StatusOK {
		return nil, errors.Errorf("direct: configuration of %s: status %d", p.Name, reply.Status)
	}
	var c paths.Config
	err = gob.NewDecoder(io.LimitReader(reply, configMost)).Decode(&c)
	return &c, errors.Wrap(err, "direct: configuration of "+string(p.Name))
}
