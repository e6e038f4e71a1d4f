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

// URLPrefix is the URL path at which relays answer, followed by the collection's name.
const URLPrefix = "/v1/feeds/"

const (
	// peerDialTimeout bounds the dial of a relay, which normally takes under 2 ms.
	peerDialTimeout = 250 * time.Millisecond
	// peerIdleTimeout is how long an idle connection to a relay is kept between two polls.
	peerIdleTimeout = 10 * time.Second
	// maxAnswer bounds an answer in bytes. It admits a configuration of some thousand routes.
	maxAnswer = 8 << 20

	queryAfter     = "after"
	queryList      = "list"
	queryWait      = "wait_ms"
	headerRevision = "Revision"
	// headerConfirmed is the time at which the source confirmed the answer, in milliseconds
	// relative to the arrival of the call; negative if before it.
	headerConfirmed = "Heard-Ms"
)

// Handler returns the HTTP handler that answers polls and lists of other processes from the replica.
func Handler[T any](h *Replica[T]) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		ms, err := strconv.ParseInt(query.Get(queryWait), 10, 64)
		if err != nil || ms < 0 {
			http.Error(w, "wait_ms must be a whole number", http.StatusBadRequest)
			return
		}
		wait := min(time.Duration(ms)*time.Millisecond, PollTimeout)
		if query.Has(queryList) {
			answerList(w, r, h, wait)
			return
		}
		after, err := strconv.ParseUint(query.Get(queryAfter), 10, 64)
		if err != nil {
			http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
			return
		}
		answerPoll(w, r, h, feed.Revision(after), wait)
	})
}

// answerPoll answers a poll for changes after a revision, once there are changes or wait has passed.
func answerPoll[T any](w http.ResponseWriter, r *http.Request, h *Replica[T], after feed.Revision, wait time.Duration) {
	called := boottime()
	result, err := awaitChanges(r.Context(), h, after, wait)
	switch {
	case errors.Is(err, feed.ErrCompacted):
		w.WriteHeader(http.StatusGone)
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	case len(result.changes) == 0:
		setConfirmed(w.Header(), called, result.confirmedAt)
		w.Header().Set(headerRevision, strconv.FormatUint(uint64(result.revision), 10))
		w.WriteHeader(http.StatusNoContent)
	default:
		writeAnswer(w, h, answerKey{version: result.version, after: after, at: result.revision}, called, result)
	}
}

// answerList answers a list of the whole collection.
func answerList[T any](w http.ResponseWriter, r *http.Request, h *Replica[T], wait time.Duration) {
	called := boottime()
	result, err := awaitSnapshot(r.Context(), h, wait)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeAnswer(w, h, answerKey{version: result.version, at: result.revision, list: true}, called, result)
}

// awaitChanges waits, at most the given time, for changes after a revision.
func awaitChanges[T any](ctx context.Context, h *Replica[T], after feed.Revision, wait time.Duration) (answer[T], error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		result, err := h.since(boottime(), after)
		if err != nil && !errors.Is(err, errBehind) || len(result.changes) > 0 {
			return result, err
		}
		select {
		case <-result.changed:
		case <-deadline.C:
			// An answer that nothing has changed must be fresh as well.
			return h.since(boottime(), after)
		case <-ctx.Done():
			return result, ctx.Err()
		}
	}
}

// awaitSnapshot waits, at most the given time, until the replica has the collection for the first
// time. When all processes start at once, a relay that refused while its own first list is in
// progress would make each other process list the source.
func awaitSnapshot[T any](ctx context.Context, h *Replica[T], wait time.Duration) (answer[T], error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		result, err := h.snapshot(boottime())
		if err == nil || h.Revision() > 0 {
			return result, err
		}
		select {
		case <-result.changed:
		case <-deadline.C:
			return result, err
		case <-ctx.Done():
			return result, ctx.Err()
		}
	}
}

// setConfirmed sets the header with the time of the source's confirmation, relative to the time of
// the call. Relative to the answer, a process that is suspended before it reads the answer would
// use the time of reading, and pass on changes that are seconds old as fresh. Relative to the call,
// the confirmation never appears later than it was.
func setConfirmed(h http.Header, called, confirmedAt time.Time) {
	h.Set(headerConfirmed, strconv.FormatInt(confirmedAt.Sub(called).Milliseconds(), 10))
}

// writeAnswer sends an answer, from the cache if the same answer was encoded before.
func writeAnswer[T any](w http.ResponseWriter, h *Replica[T], key answerKey, called time.Time, result answer[T]) {
	body, err := h.answers.get(key, func() ([]byte, error) { return encode(result.changes) })
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerRevision, strconv.FormatUint(uint64(key.at), 10))
	setConfirmed(w.Header(), called, result.confirmedAt)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the caller detects a broken connection itself
}

// poll asks a relay for the changes after a revision.
func poll[T any](ctx context.Context, p *Peer, name string, after feed.Revision, wait time.Duration) (relayAnswer[T], error) {
	answer, err := call[T](ctx, p, name, queryAfter+"="+strconv.FormatUint(uint64(after), 10), wait)
	if err == nil && answer.revision < after {
		return answer, errors.Errorf("relay: %s answered with revision %s, earlier than the requested %s", p.Name, answer.revision, after)
	}
	return answer, err
}

// list asks a relay for the whole collection.
func list[T any](ctx context.Context, p *Peer, name string, wait time.Duration) (feed.Page[T], time.Time, error) {
	answer, err := call[T](ctx, p, name, queryList+"=1", wait)
	if err != nil {
		return feed.Page[T]{}, time.Time{}, err
	}
	items, err := itemsOf(answer.changes)
	return feed.Page[T]{Revision: answer.revision, Items: items}, answer.confirmedAt, errors.Wrap(err, string(p.Name))
}

// call makes one call to a relay and decodes its answer.
func call[T any](ctx context.Context, p *Peer, name, query string, wait time.Duration) (relayAnswer[T], error) {
	ctx, cancel := context.WithTimeout(ctx, wait+pollGrace)
	defer cancel()
	target := URLPrefix + name + "?" + query + "&" + queryWait + "=" + strconv.FormatInt(wait.Milliseconds(), 10)
	called := boottime()
	reply, err := p.get(ctx, send.Request{Method: http.MethodGet, Target: target, ReadTimeout: wait + pollGrace})
	if err != nil {
		return relayAnswer[T]{}, errors.Wrap(err, "relay: "+string(p.Name))
	}
	switch reply.status {
	case http.StatusOK, http.StatusNoContent:
	case http.StatusGone:
		return relayAnswer[T]{}, errors.Wrap(feed.ErrCompacted, "relay: "+string(p.Name))
	case http.StatusServiceUnavailable:
		return relayAnswer[T]{}, errors.Wrap(ErrStale, "relay: "+string(p.Name))
	default:
		return relayAnswer[T]{}, errors.Errorf("relay: %s: status %d", p.Name, reply.status)
	}
	at, err := strconv.ParseUint(reply.header.Get(headerRevision), 10, 64)
	if err != nil {
		return relayAnswer[T]{}, errors.Wrap(err, "relay: parse the Revision header of "+string(p.Name))
	}
	ms, err := strconv.ParseInt(reply.header.Get(headerConfirmed), 10, 64)
	confirmedAt := called.Add(time.Duration(ms) * time.Millisecond)
	if err != nil || confirmedAt.After(boottime()) {
		return relayAnswer[T]{}, errors.Errorf("relay: %s sent the invalid Heard-Ms header %q", p.Name, reply.header.Get(headerConfirmed))
	}
	changes, err := decode[T](reply.body)
	return relayAnswer[T]{changes: changes, revision: feed.Revision(at), confirmedAt: confirmedAt}, errors.Wrap(err, "relay: "+string(p.Name))
}

// relayAnswer is a relay's decoded answer.
type relayAnswer[T any] struct {
	changes  []feed.Change[T]
	revision feed.Revision
	// confirmedAt is when the source confirmed the answer, by this process's clock.
	confirmedAt time.Time
}

// response is a complete HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// get sends one request to the peer and reads the complete response.
func (p *Peer) get(ctx context.Context, r send.Request) (*response, error) {
	if p.call != nil {
		return p.call(ctx, r)
	}
	reply, err := p.Do(ctx, r)
	if err != nil {
		return nil, err
	}
	body, err := reply.ReadAll(maxAnswer)
	if err != nil {
		return nil, err
	}
	return &response{reply.Status, reply.Header, body}, nil
}
