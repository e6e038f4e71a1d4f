package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/feed"
	"jacinthworks/send"
)

// Path is where relays answer, followed by the collection's name.
const Path = "/v1/feeds/"

const (
	// peerDial bounds the dial of a relay, which takes under 2 ms.
	peerDial = 250 * time.Millisecond
	// peerKeep is how long a connection to a relay is kept between two polls.
	peerKeep = 10 * time.Second
	// maxAnswer bounds an answer in bytes: a configuration of some thousand routes.
	maxAnswer = 8 << 20

	queryAfter = "after"
	queryList  = "list"
	queryWait  = "wait_ms"
	headerAt   = "Revision"
	// headerHeard is when the source told what is answered, in milliseconds from when the
	// call came; negative before it.
	headerHeard = "Heard-Ms"
)

// Handler answers polls, and who lists the collection, from the hub.
func Handler[T any](h *Replica[T]) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		ms, err := strconv.ParseInt(q.Get(queryWait), 10, 64)
		if err != nil || ms < 0 {
			http.Error(w, "wait_ms must be a whole number", http.StatusBadRequest)
			return
		}
		wait := min(time.Duration(ms)*time.Millisecond, PollTimeout)
		if q.Has(queryList) {
			answerList(w, r, h, wait)
			return
		}
		after, err := strconv.ParseUint(q.Get(queryAfter), 10, 64)
		if err != nil {
			http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
			return
		}
		answerPoll(w, r, h, feed.Revision(after), wait)
	})
}

func answerPoll[T any](w http.ResponseWriter, r *http.Request, h *Replica[T], after feed.Revision, wait time.Duration) {
	called := boottime()
	n, err := await(r.Context(), h, after, wait)
	switch {
	case errors.Is(err, feed.ErrCompacted):
		w.WriteHeader(http.StatusGone)
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	case len(n.changes) == 0:
		setHeard(w.Header(), called, n.heard)
		w.Header().Set(headerAt, strconv.FormatUint(uint64(n.at), 10))
		w.WriteHeader(http.StatusNoContent)
	default:
		write(w, h, packed{version: n.version, after: after, at: n.at}, called, n)
	}
}

func answerList[T any](w http.ResponseWriter, r *http.Request, h *Replica[T], wait time.Duration) {
	called := boottime()
	n, err := awaitAll(r.Context(), h, wait)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	write(w, h, packed{version: n.version, at: n.at, list: true}, called, n)
}

// await waits for changes after a revision.
func await[T any](ctx context.Context, h *Replica[T], after feed.Revision, wait time.Duration) (news[T], error) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		n, err := h.since(boottime(), after)
		if err != nil && !errors.Is(err, errBehind) || len(n.changes) > 0 {
			return n, err
		}
		select {
		case <-n.next:
		case <-end.C:
			// The answer that nothing has changed is one as well: it has to be fresh.
			return h.since(boottime(), after)
		case <-ctx.Done():
			return n, ctx.Err()
		}
	}
}

// awaitAll waits until the hub has listed the collection for the first time.
//
// Load pattern: all processes start at once, the relays among them. Turned away by a relay
// that has just begun its own list, each of the others lists the source.
func awaitAll[T any](ctx context.Context, h *Replica[T], wait time.Duration) (news[T], error) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		n, err := h.all(boottime())
		if err == nil || h.Revision() > 0 {
			return n, err
		}
		select {
		case <-n.next:
		case <-end.C:
			return n, err
		case <-ctx.Done():
			return n, ctx.Err()
		}
	}
}

// setHeard says when the source was heard, to who called at a time.
//
// Failure: the process that asked is suspended before it reads the answer, and takes the
// time at which it reads for that of the answer. It shows as news seconds old that are
// passed on as fresh. Counted from the call, what was heard never seems later than it was.
func setHeard(h http.Header, called, heard time.Time) {
	h.Set(headerHeard, strconv.FormatInt(heard.Sub(called).Milliseconds(), 10))
}

// write sends changes, as they were packed for another before where it can.
func write[T any](w http.ResponseWriter, h *Replica[T], key packed, called time.Time, n news[T]) {
	body, err := h.packs.pack(key, func() ([]byte, error) { return encode(n.changes) })
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerAt, strconv.FormatUint(uint64(key.at), 10))
	setHeard(w.Header(), called, n.heard)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // a broken connection is the other's to notice
}

// poll asks a relay for changes.
func poll[T any](ctx context.Context, p *Peer, name string, after feed.Revision, wait time.Duration) (told[T], error) {
	t, err := ask[T](ctx, p, name, queryAfter+"="+strconv.FormatUint(uint64(after), 10), wait)
	if err == nil && t.at < after {
		return t, errors.Errorf("relay: %s: revision %s after %s", p.Name, t.at, after)
	}
	return t, err
}

// list asks a relay for the whole collection.
func list[T any](ctx context.Context, p *Peer, name string, wait time.Duration) (feed.Page[T], time.Time, error) {
	t, err := ask[T](ctx, p, name, queryList+"=1", wait)
	if err != nil {
		return feed.Page[T]{}, time.Time{}, err
	}
	items, err := itemsOf(t.changes)
	return feed.Page[T]{Revision: t.at, Items: items}, t.heard, errors.Wrap(err, string(p.Name))
}

// ask makes one call at a relay.
func ask[T any](ctx context.Context, p *Peer, name, query string, wait time.Duration) (told[T], error) {
	ctx, cancel := context.WithTimeout(ctx, wait+pollPatience)
	defer cancel()
	target := Path + name + "?" + query + "&" + queryWait + "=" + strconv.FormatInt(wait.Milliseconds(), 10)
	called := boottime()
	reply, err := p.get(ctx, send.Request{Method: http.MethodGet, Target: target, ReadTimeout: wait + pollPatience})
	if err != nil {
		return told[T]{}, errors.Wrap(err, "relay: "+string(p.Name))
	}
	switch reply.status {
	case http.StatusOK, http.StatusNoContent:
	case http.StatusGone:
		return told[T]{}, errors.Wrap(feed.ErrCompacted, "relay: "+string(p.Name))
	case http.StatusServiceUnavailable:
		return told[T]{}, errors.Wrap(ErrStale, "relay: "+string(p.Name))
	default:
		return told[T]{}, errors.Errorf("relay: %s: status %d", p.Name, reply.status)
	}
	at, err := strconv.ParseUint(reply.header.Get(headerAt), 10, 64)
	if err != nil {
		return told[T]{}, errors.Wrap(err, "relay: revision of "+string(p.Name))
	}
	ms, err := strconv.ParseInt(reply.header.Get(headerHeard), 10, 64)
	heard := called.Add(time.Duration(ms) * time.Millisecond)
	if err != nil || heard.After(boottime()) {
		return told[T]{}, errors.Errorf("relay: %s heard the source at %q", p.Name, reply.header.Get(headerHeard))
	}
	changes, err := decode[T](reply.body)
	return told[T]{changes: changes, at: feed.Revision(at), heard: heard}, errors.Wrap(err, "relay: "+string(p.Name))
}

// told is what a relay answered.
type told[T any] struct {
	changes []feed.Change[T]
	at      feed.Revision
	// heard is when the source told it, by this process's clock.
	heard time.Time
}

// answered is a whole answer.
type answered struct {
	status int
	header http.Header
	body   []byte
}

// get makes one call at the process.
func (p *Peer) get(ctx context.Context, r send.Request) (*answered, error) {
	if p.call != nil {
		return p.call(ctx, r)
	}
	reply, err := p.client.Do(ctx, r)
	if err != nil {
		return nil, err
	}
	body, err := reply.ReadAll(maxAnswer)
	if err != nil {
		return nil, err
	}
	return &answered{reply.Status, reply.Header, body}, nil
}
