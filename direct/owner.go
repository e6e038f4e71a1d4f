package direct

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/relay"
	"jacinthworks/send"
)

// Some state, such as rate limits and quotas, is kept by one entry for the whole fleet, so
// that all entries go by one count. The key of the state determines its owner; see
// relay.Fleet.Owners.
const (
	// ownerTimeout bounds a call at an owner: two round trips, for the connection and the
	// answer, and the delay of a host that waits for its share of a processor.
	ownerTimeout = 80 * time.Millisecond
	// maxOwnerTries is how many owners are called in turn, not counting those that are
	// known not to answer.
	maxOwnerTries = 2
	// maxOwnerRequest bounds the body of a call at an owner, in bytes.
	maxOwnerRequest = 64 << 10
	// maxPeerResponse bounds the response of another entry, in bytes.
	maxPeerResponse = 64 << 10
	// alivePath is the peer endpoint that answers 200 while the process accepts calls.
	alivePath = "/v1/alive"
)

// probeOwner calls, in the background, an owner that did not answer before.
func (s *Server) probeOwner(p *relay.Peer) {
	s.background("probe owner", ownerTimeout, func(ctx context.Context) error {
		if err := callPeer(ctx, p, http.MethodGet, alivePath, ownerTimeout, nil, nil); err != nil {
			return err
		}
		s.unresponsive.MarkUp(p)
		s.Log.Info("owner reachable again", "entry", p.Name)
		return nil
	})
}

// owner is the entry that answered a call about a key that it owns; a nil peer stands for
// this process.
type owner struct{ peer *relay.Peer }

// name is the owner's name in log lines.
func (k owner) name() string {
	if k.peer == nil {
		return "self"
	}
	return string(k.peer.Name)
}

// callOwner makes a call at the entry that owns a key; see reachOwner.
func callOwner[A any](ctx context.Context, s *Server, key, path string, maxOwners int, call any, local func(first bool) A) (answer A, by owner, ok bool) {
	remote := func(p *relay.Peer) (a A, err error) {
		return a, callPeer(ctx, p, http.MethodPost, path, ownerTimeout, call, &a)
	}
	return reachOwner(ctx, s, key, maxOwners, remote, local)
}

// reachOwner calls remote with the entry that owns a key. It tries the first maxOwners owners
// in order of precedence. If one of them is this entry, it calls local instead, with first
// true if no other entry precedes this one. It returns false if no owner can be reached.
//
// When an entry drains, the others go to the next owner of its keys. What the draining
// entry still granted to its own callers by its own count would be granted twice, so a
// draining entry calls the other owners first.
func reachOwner[A any](ctx context.Context, s *Server, key string, maxOwners int, remote func(*relay.Peer) (A, error), local func(first bool) A) (answer A, by owner, ok bool) {
	tried, ownRank := 0, -1
	for n, o := range s.peers.fleet.Owners(time.Now(), key, maxOwners) {
		if o.Peer == nil && s.draining.Load() {
			ownRank = n
			continue
		}
		if o.Peer == nil {
			return local(n == 0), owner{}, true
		}
		allowed, probe := s.unresponsive.MayAsk(time.Now(), o.Peer)
		if probe {
			s.probeOwner(o.Peer)
		}
		if !allowed {
			continue
		}
		if tried++; tried > maxOwnerTries {
			break
		}
		a, err := remote(o.Peer)
		if err == nil {
			return a, owner{o.Peer}, true
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, errMessageRejected) {
			s.Log.Debug("call rejected by an owner", "key", key, "entry", o.Peer.Name)
			continue
		}
		s.unresponsive.MarkDown(time.Now(), o.Peer)
		s.Log.Info("owner not reachable", "key", key, "entry", o.Peer.Name, "err", err)
	}
	if ownRank >= 0 && ctx.Err() == nil {
		return local(ownRank == 0), owner{}, true
	}
	var none A
	return none, owner{}, false
}

// isFirstOwner reports whether this entry is the first owner of a key.
func (s *Server) isFirstOwner(key string) bool {
	owners := s.peers.fleet.Owners(time.Now(), key, 1)
	return len(owners) > 0 && owners[0].Peer == nil
}

// errPeerUnavailable is the error of a call that another entry refused because it is
// draining or has no configuration or registry yet.
var errPeerUnavailable = errors.New("direct: calling another entry: it is draining or not ready")

// errMessageRejected is the error of a call that another entry rejected because it does not
// know the endpoint, as one of an earlier version, or what the message names. Its other
// endpoints may be called.
var errMessageRejected = errors.New("direct: calling another entry: it rejected the message")

// callPeer makes one call at another entry. A nil call sends no body; with a nil answer the
// response is not decoded.
func callPeer(ctx context.Context, p *relay.Peer, method, path string, within time.Duration, call, answer any) error {
	body, err := callPeerRaw(ctx, p, method, path, within, maxPeerResponse, call)
	if err != nil || answer == nil {
		return err
	}
	return decodePeerAnswer(p, body, answer)
}

func decodePeerAnswer(p *relay.Peer, body []byte, answer any) error {
	return errors.Wrap(json.Unmarshal(body, answer), "direct: decoding the response of "+string(p.Name))
}

// callPeerRaw makes one call at another entry and returns the body of the response, which may
// have at most the given number of bytes.
func callPeerRaw(ctx context.Context, p *relay.Peer, method, path string, within time.Duration, maxResponse int64, call any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	reply, err := beginPeerCall(ctx, p, method, path, within, call)
	if err != nil {
		return nil, err
	}
	return readPeerBody(reply, maxResponse)
}

// beginPeerCall sends a call to another entry and waits for the header of its response. The
// caller closes the response.
func beginPeerCall(ctx context.Context, p *relay.Peer, method, path string, within time.Duration, call any) (*send.Response, error) {
	request := send.Request{Method: method, Target: path, ReadTimeout: within}
	if call != nil {
		body, err := json.Marshal(call)
		if err != nil {
			return nil, errors.Wrap(err, "direct: encoding a call to another entry")
		}
		request.Header, request.Body = http.Header{"Content-Type": {"application/json"}}, body
	}
	return p.Do(ctx, request)
}

// readPeerBody reads the response to a call to another entry, and closes it.
func readPeerBody(reply *send.Response, maxResponse int64) ([]byte, error) {
	body, err := reply.ReadAll(maxResponse)
	switch {
	case err != nil:
		return nil, err
	case reply.Status == http.StatusServiceUnavailable:
		return nil, errPeerUnavailable
	case reply.Status == http.StatusBadRequest || reply.Status == http.StatusNotFound:
		return nil, errMessageRejected
	case reply.Status != http.StatusOK:
		return nil, errors.Errorf("direct: calling another entry: status %d", reply.Status)
	}
	return body, nil
}

// ownerHandler serves the calls of other entries. answer returns false if the call can't be
// answered, for example before the configuration is known; the status is then 503.
func ownerHandler[C, A any](s *Server, answer func(C) (A, bool)) http.HandlerFunc {
	return checkedHandler(s, func(C) error { return nil }, answer)
}

// checkedHandler is an ownerHandler that rejects, with status 400, calls for which check
// returns an error.
func checkedHandler[C, A any](s *Server, check func(C) error, answer func(C) (A, bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, h *http.Request) {
		var call C
		err := json.NewDecoder(http.MaxBytesReader(w, h.Body, maxOwnerRequest)).Decode(&call)
		if err == nil {
			err = check(call)
		}
		if err != nil {
			s.rejectPeerMessage(w, h.URL.Path, err)
			return
		}
		a, ok := answer(call)
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(a); err != nil {
			s.Log.Debug("response to another entry not written", "path", h.URL.Path, "err", err)
		}
	}
}
