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

// maxWait limits a watch's wait.
const maxWait = time.Minute

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.count(w, &p.reads, p.ReadRate, &p.counts.List) {
		return
	}
	names := []string{}
	for name := range p.objects {
		if o, ok := p.seen(name); ok && strings.HasPrefix(o.Name, r.FormValue("prefix")) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	serve.Write(w, http.StatusOK, names)
}

// seen gives the object as readers see it. The caller holds p.mu.
func (p *Platform) seen(name string) (infra.Object, bool) {
	o := p.objects[name].now
	if p.fault.StaleReads {
		o = p.objects[name].before
	}
	return o, o.Version > 0
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("after") {
		p.watch(w, r)
		return
	}
	p.mu.Lock()
	if !p.count(w, &p.reads, p.ReadRate, &p.counts.Get) {
		p.mu.Unlock()
		return
	}
	o, ok := p.seen(r.PathValue("name"))
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
	_, _ = w.Write(o.Value) // the caller may be gone
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, err2 := time.ParseDuration(r.FormValue("wait"))
	if err != nil || err2 != nil || wait < 0 {
		http.Error(w, "after is not a version or wait not a duration", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	allowed := p.count(w, &p.reads, p.ReadRate, &p.counts.Watch)
	p.mu.Unlock()
	if !allowed {
		return
	}
	over := time.NewTimer(min(wait, maxWait))
	defer over.Stop()
	for {
		o, silent, changed := p.look(r.PathValue("name"))
		if !silent && o.Version > infra.Version(after) {
			writeObject(w, o)
			return
		}
		select {
		case <-changed:
		case <-over.C:
			p.unchanged(w, r)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// look gives an object as watches see it, and what is closed at the next
// change.
func (p *Platform) look(name string) (o infra.Object, silent bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, _ = p.seen(name)
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return o, p.fault.WatchSilent, p.changed
}

func (p *Platform) unchanged(w http.ResponseWriter, r *http.Request) {
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

// wake lets watches look again. The caller holds p.mu.
func (p *Platform) wake() {
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
	p.write(w, r, &p.counts.Put, &infra.Object{Name: r.PathValue("name"), Value: value})
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.write(w, r, &p.counts.Delete, nil)
}

// write puts the object, or removes the one named when it is nil, if the
// request's condition holds.
func (p *Platform) write(w http.ResponseWriter, r *http.Request, kind *int, o *infra.Object) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.count(w, &p.writes, p.WriteRate, kind) {
		return
	}
	name := r.PathValue("name")
	at, ok := condition(r.Header)
	old := p.objects[name]
	switch {
	case !ok || name == "":
		http.Error(w, "If-Match or If-None-Match: * is needed", http.StatusPreconditionRequired)
		return
	case old.now.Version != at:
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
		return
	}
	next := object{before: old.now}
	if o != nil {
		p.version++ // one counter for all objects: one made again is newer too
		next.now = *o
		next.now.Version = p.version
	}
	if p.objects == nil {
		p.objects = map[string]object{}
	}
	p.objects[name] = next
	p.wake()
	if p.fault.LoseAnswers > 0 {
		p.fault.LoseAnswers--
		serve.AbortConn()
	}
	w.Header().Set("ETag", next.now.Version.ETag())
	w.WriteHeader(http.StatusNoContent)
}

// condition gives the version that a write is for; zero creates.
func condition(header http.Header) (infra.Version, bool) {
	if header.Get("If-None-Match") == "*" {
		return 0, true
	}
	at, err := infra.ParseETag(header.Get("If-Match"))
	return at, err == nil && at > 0
}
