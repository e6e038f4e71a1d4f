package direct

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"jacinthworks/clock"
	"jacinthworks/domain"
	"jacinthworks/fanout"
	"jacinthworks/group"
	"jacinthworks/relay"
	"jacinthworks/retry"
	"jacinthworks/send"
	"jacinthworks/split"
)

// Evidence of requests that crash upstreams reaches the other entries in three ways: each entry
// that sees a crash passes it on to all (evidenceMessage), asks a random other one periodically for
// what that one knows, and writes a notice to the store. The first does not need the store, the
// second serves entries that were not reached or have just started, and the third those that no
// other entry reaches.
const (
	// evidencePath is the peer endpoint that accepts an evidenceMessage by POST, and returns all
	// evidence by GET.
	evidencePath = "/v1/evidence"
	// evidenceInterval is how often an entry asks another one. Until the first one has answered the
	// interval grows from evidenceStartInterval.
	evidenceInterval      = 5 * time.Second
	evidenceStartInterval = 200 * time.Millisecond
	// evidenceTimeout bounds a call, which transfers some kilobytes.
	evidenceTimeout = 150 * time.Millisecond
	// maxEvidence bounds the encoded evidence in a message, in bytes: MaxDeaths deaths with
	// MaxRunning requests and MaxDeathParts parts each.
	maxEvidence = 4 << 20
	// digestField is the query field with the digest of what the caller of a GET knows already.
	digestField = "known"
)

// evidenceMessage is what entries saw of requests that crash upstreams.
type evidenceMessage struct {
	// By is the entry that saw the crashes.
	By       domain.Host  `json:"by"`
	Evidence retry.Record `json:"evidence"`
	// PassOn names the entries that the receiver passes the message on to.
	PassOn []domain.Host `json:"pass_on,omitempty"`
}

// UnmarshalJSON decodes a message within the bounds of its lists. Entries beyond them get the evidence
// when they ask for it.
func (m *evidenceMessage) UnmarshalJSON(text []byte) error {
	type plain evidenceMessage // without this method
	w := struct {
		*plain
		PassOn json.RawMessage `json:"pass_on"`
	}{plain: (*plain)(m)}
	*m = evidenceMessage{}
	err := json.Unmarshal(text, &w)
	if err == nil {
		err = checkPeerName(m.By)
	}
	if err == nil {
		var omitted int
		m.PassOn, omitted, err = split.Decode(w.PassOn, maxPeerList, checkPeerName)
		m.Evidence.Omitted += omitted
	}
	return errors.Wrap(err, "direct: decode crash evidence")
}

// spreadEvidence passes what this entry saw on to all others.
func (s *Server) spreadEvidence(ctx context.Context, evidence retry.Record) {
	s.passOnEvidence(ctx, evidenceMessage{By: s.Settings.Name, Evidence: evidence}, s.otherPeers())
}

// passOnEvidence passes a message on to some other entries.
func (s *Server) passOnEvidence(ctx context.Context, m evidenceMessage, to []*relay.Peer) {
	failed := fanout.Send(ctx, to, fanout.Width, func(ctx context.Context, first *relay.Peer, rest []*relay.Peer) error {
		m := m
		m.PassOn = peerNames(rest)
		return callPeer(ctx, first, http.MethodPost, evidencePath, evidenceTimeout, m, nil)
	})
	if len(failed) > 0 {
		s.Log.Info("crash evidence not delivered", "by", m.By, "entries", peerNames(failed), "of", len(to))
	}
}

// acceptEvidence merges the evidence of another entry, and passes it on.
func (s *Server) acceptEvidence(w http.ResponseWriter, r *http.Request) {
	var m evidenceMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEvidence)).Decode(&m); err != nil {
		s.rejectPeerMessage(w, evidencePath, err)
		return
	}
	s.mergeCrashes(m.By, m.Evidence)
	if len(m.PassOn) > 0 {
		s.background("pass on crash evidence", time.Duration(len(m.PassOn))*evidenceTimeout, func(ctx context.Context) error {
			s.passOnEvidence(ctx, m, s.peersNamed(m.PassOn))
			return nil
		})
	}
	w.WriteHeader(http.StatusOK)
}

// peersNamed returns the known other entries with the given names.
func (s *Server) peersNamed(names []domain.Host) (found []*relay.Peer) {
	wanted := make(map[domain.Host]bool, len(names))
	for _, n := range names {
		wanted[n] = true
	}
	for _, p := range s.otherPeers() {
		if wanted[p.Name] {
			found = append(found, p)
		}
	}
	return found
}

// otherPeers returns all other entries that are known.
func (s *Server) otherPeers() []*relay.Peer {
	return s.peers.fleet.OtherPeers(s.peers.fleet.MemberCount())
}

// serveEvidence returns all evidence that this entry has, or no content if the caller has the same.
func (s *Server) serveEvidence(w http.ResponseWriter, r *http.Request) {
	body, digest, err := s.encodedEvidence()
	switch {
	case err != nil:
		s.Log.Error("crash evidence not encoded", "err", err)
		w.WriteHeader(http.StatusInternalServerError)
	case r.URL.Query().Get(digestField) == digest:
		w.WriteHeader(http.StatusNoContent)
	default:
		if _, err := w.Write(body); err != nil {
			s.Log.Debug("crash evidence not written", "err", err)
		}
	}
}

// encodedEvidence returns the evidence that this entry has, and its digest.
func (s *Server) encodedEvidence() (body []byte, digest string, err error) {
	body, err = json.Marshal(s.crashes.Ledger.Record(s.evidenceTime()))
	return body, strconv.FormatUint(xxhash.Sum64(body), 16), errors.Wrap(err, "direct: encoding crash evidence")
}

// exchangeEvidence asks another entry, drawn at random, for its evidence until ctx ends.
func (s *Server) exchangeEvidence(ctx context.Context) error {
	if !s.Settings.PeerListen.IsValid() {
		return nil
	}
	wait := evidenceStartInterval
	for ; ctx.Err() == nil; group.Sleep(ctx, wait) {
		wait = min(2*wait, evidenceInterval)
		from := randomSample(slices.Concat(s.otherPeers(), s.peers.fleet.RelayPeers(clock.Boottime())), 1)
		if len(from) == 0 {
			continue
		}
		evidence, err := s.fetchEvidence(ctx, from[0])
		if err != nil {
			s.Log.Debug("crash evidence not received", "entry", from[0].Name, "err", err)
			continue
		}
		s.mergeCrashes(from[0].Name, evidence)
		wait = evidenceInterval
	}
	return nil
}

// fetchEvidence returns the evidence of another entry, empty if this one has the same.
func (s *Server) fetchEvidence(ctx context.Context, p *relay.Peer) (found retry.Record, err error) {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	_, digest, err := s.encodedEvidence()
	if err != nil {
		return found, err
	}
	query := url.Values{digestField: {digest}}
	reply, err := p.Do(ctx, send.Request{Method: http.MethodGet, Target: evidencePath + "?" + query.Encode(), ReadTimeout: evidenceTimeout})
	if err != nil {
		return found, err
	}
	defer reply.Close()
	switch reply.Status {
	case http.StatusNoContent:
		return found, nil
	case http.StatusOK:
		body, err := reply.ReadAll(maxEvidence)
		if err == nil {
			err = json.Unmarshal(body, &found)
		}
		return found, errors.Wrap(err, "direct: decoding the crash evidence of "+string(p.Name))
	}
	return found, errors.Errorf("direct: asking %s for crash evidence: status %d", p.Name, reply.Status)
}
