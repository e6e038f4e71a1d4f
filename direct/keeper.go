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

// An entry keeps state for all where many of them have to go by one count. Which one
// follows from the key of the state; see relay.Fleet.Owners.
const (
	// keeperWithin bounds a call: two round trips, for a connection and the answer,
	// and a host that waits for its share of a processor.
	keeperWithin = 80 * time.Millisecond
	// keeperTries is how many entries are asked in turn, beside those that are known not
	// to answer.
	keeperTries = 2
	// keeperMost bounds a call, in bytes.
	keeperMost = 16 << 10
	// alivePath is where an entry answers that it can be asked.
	alivePath = "/v1/alive"
)

// tryKeeper tries an entry that did not answer.
func (s *Server) tryKeeper(p *relay.Peer) {
	s.later("try keeper", keeperWithin, func(ctx context.Context) error {
		if err := callPeer(ctx, p, http.MethodGet, alivePath, keeperWithin, nil, nil); err != nil {
			return err
		}
		s.keepers.MarkUp(p)
		s.Log.Info("keeper reached again", "entry", p.Name)
		return nil
	})
}

// keeper is an entry that answered; nil stands for this one.
type keeper struct{ peer *relay.Peer }

// name is for the log.
func (k keeper) name() string {
	if k.peer == nil {
		return "self"
	}
	return string(k.peer.Name)
}

// askKeeper makes a call at the entry that keeps the state of a key, one of the first so
// many that may, or does it here where that is this one: own is told whether no other
// entry should. It gives false where none can be reached.
//
// Failure: an entry leaves, and the others keep the state of its keys elsewhere. What it
// still grants its own callers by its own count is granted twice. One that leaves asks
// the others first.
func askKeeper[A any](ctx context.Context, s *Server, key, path string, most int, call any, own func(first bool) A) (answer A, by keeper, ok bool) {
	tries, last := 0, -1
	for n, o := range s.peers.fleet.Owners(time.Now(), key, most) {
		if o.Peer == nil && s.leaving.Load() {
			last = n
			continue
		}
		if o.Peer == nil {
			return own(n == 0), keeper{}, true
		}
		ask, try := s.keepers.Check(time.Now(), o.Peer)
		if try {
			s.tryKeeper(o.Peer)
		}
		if !ask {
			continue
		}
		if tries++; tries > keeperTries {
			break
		}
		err := callPeer(ctx, o.Peer, http.MethodPost, path, keeperWithin, call, &answer)
		if err == nil {
			return answer, keeper{o.Peer}, true
		}
		if ctx.Err() != nil {
			break
		}
		s.keepers.MarkDown(time.Now(), o.Peer)
		s.Log.Info("keeper not reached", "key", key, "entry", o.Peer.Name, "err", err)
	}
	if last >= 0 && ctx.Err() == nil {
		return own(last == 0), keeper{}, true
	}
	var none A
	return none, keeper{}, false
}

// first says whether no other entry should keep the state of a key.
func (s *Server) first(key string) bool {
	owners := s.peers.fleet.Owners(time.Now(), key, 1)
	return len(owners) > 0 && owners[0].Peer == nil
}

// errLeaving says that another entry answers and does nothing for others: it leaves, or
// knows too little yet.
var errLeaving = errors.New("direct: call of an entry: it does not serve others")

// callPeer makes one call at another entry. A nil call has no body; a nil answer is not
// read.
func callPeer(ctx context.Context, p *relay.Peer, method, path string, within time.Duration, call, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	ask := send.Request{Method: method, Target: path, ReadTimeout: within}
	if call != nil {
		body, err := json.Marshal(call)
		if err != nil {
			return errors.Wrap(err, "direct: call of an entry")
		}
		ask.Header, ask.Body = http.Header{"Content-Type": {"application/json"}}, body
	}
	reply, err := p.Do(ctx, ask)
	if err != nil {
		return err
	}
	text, err := reply.ReadAll(shortAnswer)
	switch {
	case err != nil:
		return err
	case reply.Status == http.StatusServiceUnavailable:
		return errLeaving
	case reply.Status != http.StatusOK:
		return errors.Errorf("direct: call of an entry: status %d", reply.Status)
	case answer == nil:
		return nil
	}
	return errors.Wrap(json.Unmarshal(text, answer), "direct: answer of "+string(p.Name))
}

// keeperHandler answers the calls of other entries; answer gives false where nothing
// can be said, as before the configuration is known.
func keeperHandler[C, A any](s *Server, answer func(C) (A, bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, h *http.Request) {
		var call C
		if err := json.NewDecoder(http.MaxBytesReader(w, h.Body, keeperMost)).Decode(&call); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		a, ok := answer(call)
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(a); err != nil {
			s.Log.Debug("answer not taken", "path", h.URL.Path, "err", err)
		}
	}
}
