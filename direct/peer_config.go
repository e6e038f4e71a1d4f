package direct

import (
	"bytes"
	"context"
	"encoding/gob"
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
	// configPath is the peer endpoint that returns the configuration in force.
	configPath = "/v1/configuration"
	// maxConfigPeers is how many other entries an entry asks for their configuration at its
	// start. configTimeout bounds such a call, which transfers a configuration of up to
	// some thousand routes.
	maxConfigPeers = 3
	configTimeout  = 250 * time.Millisecond
	// maxConfigResponse bounds the encoded configuration in a response, in bytes.
	maxConfigResponse = 8 << 20
)

// serveConfig returns the configuration in force to an entry that starts.
func (s *Server) serveConfig(w http.ResponseWriter, _ *http.Request) {
	c := s.config.Current()
	if c == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := gob.NewEncoder(w).Encode(c); err != nil {
		s.Log.Debug("configuration response not written", "err", err)
	}
}

// fetchConfigs puts in force the newest configuration that a few other entries have, if the
// store may ever have been restored from a copy.
//
// After the store was restored from an older copy, and until the operators have written
// again what it lacks, an entry that starts would serve routes and keys that were removed,
// which no other entry serves.
func (s *Server) fetchConfigs(ctx context.Context, known []feed.Item[Member]) {
	if !slices.ContainsFunc(known, func(i feed.Item[Member]) bool { return i.Revision.MayBeRestored() }) {
		return
	}
	others := randomSample(s.peers.fleet.OtherPeers(len(known)), maxConfigPeers)
	var calls group.Group
	for _, p := range others {
		calls.Call(ctx, "configuration of "+string(p.Name), func(ctx context.Context) error {
			c, err := fetchConfig(ctx, p)
			if err != nil {
				s.Log.Debug("no configuration received from entry", "entry", p.Name, "err", err)
				return nil
			}
			s.offerConfig(time.Now(), c, string(p.Name))
			return nil
		})
	}
	calls.Wait()
}

func fetchConfig(ctx context.Context, p *relay.Peer) (*paths.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	reply, err := p.Do(ctx, send.Request{Method: http.MethodGet, Target: configPath, ReadTimeout: configTimeout})
	if err != nil {
		return nil, err
	}
	defer reply.Close()
	if reply.Status != http.StatusOK {
		return nil, errors.Errorf("direct: fetching configuration from %s: status %d", p.Name, reply.Status)
	}
	body, err := reply.ReadAll(maxConfigResponse)
	if err != nil {
		return nil, errors.Wrap(err, "direct: fetching configuration from "+string(p.Name))
	}
	var c paths.Config
	err = gob.NewDecoder(bytes.NewReader(body)).Decode(&c)
	return &c, errors.Wrap(err, "direct: decoding configuration from "+string(p.Name))
}
