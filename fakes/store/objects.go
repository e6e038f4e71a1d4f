package store

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"jacinthworks/fakes/serve"
	"jacinthworks/infra"
)

// maxWatchWait limits the time that a watch waits for a change.
const maxWatchWait = time.Minute

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.admitCall(w, &p.reads, p.ReadRate, &p.counts.List) {
		return
	}
	names := []string{}
	for name := range p.objects {
		if o, ok := p.visible(name); ok && strings.HasPrefix(o.Name, r.FormValue("prefix")) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	serve.WriteJSON(w, http.StatusOK, names)
}

// visible returns the object as readers see it, which is the previous version while
// reads are stale, and reports whether it exists. The caller holds p.mu.
func (p *Platform) visible(name string) (infra.Object, bool) {
	o := p.objects[name].current
	if p.fault.StaleReads {
		o = p.objects[name].previous
	}
	return o, o.Version > 0
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("after") {
		p.watch(w, r)
		return
	}
	p.mu.Lock()
	if !p.admitCall(w, &p.reads, p.ReadRate, &p.counts.Get) {
		p.mu.Unlock()
		return
	}
	o, ok := p.visible(r.PathValue("name"))
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeObject(w, o)
}

func writeObject(w http.ResponseWriter, o infra.Object) {
	w.Header().Set("ETag", o.Version.ETag())
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(o.Value) // the caller may have disconnected
}

// watch answers with the object once its version is higher than the one in the
// parameter after, or with status 304 after the parameter wait.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, waitErr := time.ParseDuration(r.FormValue("wait"))
	if err != nil || waitErr != nil || wait < 0 {
		http.Error(w, "after is not a version or wait not a duration", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	allowed := p.admitCall(w, &p.reads, p.ReadRate, &p.counts.Watch)
	p.mu.Unlock()
	if !allowed {
		return
	}
	timeout := time.NewTimer(min(wait, maxWatchWait))
	defer timeout.Stop()
	for {
		o, withheld, changed := p.observe(r.PathValue("name"))
		if !withheld && o.Version > infra.Version(after) {
			writeObject(w, o)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			p.endWatch(w, r)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// observe returns the object as watches see it, reports whether watches must not be
// answered, and returns a channel that is closed at the next change of any object.
func (p *Platform) observe(name string) (o infra.Object, withheld bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, _ = p.visible(name)
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return o, p.fault.WatchSilent, p.changed
}

// endWatch answers a watch without a change, according to the current fault.
func (p *Platform) endWatch(w http.ResponseWriter, r *http.Request) {
	f := p.Fault()
	switch {
	case f.WatchSilent:
		<-r.Context().Done()
		serve.AbortConn()
	case f.Down:
		http.Error(w, "the platform is down", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusNotModified)
	}
}

// notifyWatches makes all watches check their objects again. The caller holds p.mu.
func (p *Platform) notifyWatches() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, infra.MaxValue))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			http.Error(w, "value over the limit", http.StatusRequestEntityTooLarge)
			return
		}
		serve.AbortConn()
	}
	p.update(w, r, &p.counts.Put, &infra.Object{Name: r.PathValue("name"), Value: value})
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.update(w, r, &p.counts.Delete, nil)
}

// update writes the object, or deletes the object named in the request if o is nil,
// provided that the request's precondition holds. It counts the call in counter.
func (p *Platform) update(w http.ResponseWriter, r *http.Request, counter *int, o *infra.Object) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.admitCall(w, &p.writes, p.WriteRate, counter) {
		return
	}
	name := r.PathValue("name")
	expected, ok := writeCondition(r.Header)
	old := p.objects[name]
	switch {
	case !ok || name == "":
		http.Error(w, "If-Match or If-None-Match: * is needed", http.StatusPreconditionRequired)
		return
	case old.current.Version != expected:
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
		return
	}
	next := object{previous: old.current}
	if o != nil {
		p.lastVersion++ // one counter for all objects, so that a recreated object has a higher version too
		next.current = *o
		next.current.Version = p.lastVersion
	}
	if p.objects == nil {
		p.objects = map[string]object{}
	}
	p.objects[name] = next
	p.notifyWatches()
	if p.fault.LoseAnswers > 0 {
		p.fault.LoseAnswers--
		serve.AbortConn()
	}
	w.Header().Set("ETag", next.current.Version.ETag())
	w.WriteHeader(http.StatusNoContent)
}

// writeCondition returns the version that an update replaces, zero for an object that
// must not exist. It reports whether the request has a valid precondition.
func writeCondition(header http.Header) (infra.Version, bool) {
	if header.Get("If-None-Match") == "*" {
		return 0, true
	}
	version, err := infra.ParseETag(header.Get("If-Match"))
	return version, err == nil && version > 0
}
