package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: kinds of objects with one revision
// counter, conditional writes, lists by page, and watches. It answers every call.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	history  []event
	changed  chan struct{}
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   metadata        `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// storePage is the number of objects on a page of a list.
const storePage = 500

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 1, objects: make(map[string]map[string]*object), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) addr() string { return s.listener.Addr().String() }

// put writes an object unconditionally, as the operator and the servers do.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, text)
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*object)
	}
	old := s.objects[kind][name]
	if old != nil && string(old.Spec) == string(spec) {
		return *old
	}
	s.revision++
	o := &object{Meta: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec}
	if old != nil {
		o.Meta.Created = old.Meta.Created
	}
	s.objects[kind][name] = o
	s.notify(event{kind: kind, revision: s.revision, Object: *o})
	return *o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.notify(event{kind: kind, revision: s.revision, Object: *o, Deleted: true})
}

func (s *store) notify(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// spec returns the spec of an object, nil if there is none.
func (s *store) spec(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		return o.Spec
	}
	return nil
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	path, found := strings.CutPrefix(r.URL.Path, "/objects/")
	if !found {
		reply(w, http.StatusNotFound, nil)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		o := s.objects[kind][name]
		s.mu.Unlock()
		if o == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	case r.Method == http.MethodPut, r.Method == http.MethodPost:
		s.change(w, r, kind, name)
	case r.Method == http.MethodDelete && name != "":
		s.remove(kind, name)
		reply(w, http.StatusOK, nil)
	default:
		reply(w, http.StatusBadRequest, nil)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	var names []string
	for n := range s.objects[kind] {
		if n > r.URL.Query().Get("after") {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	more := len(names) > storePage
	if more {
		names = names[:storePage]
	}
	items := []object{}
	for _, n := range names {
		items = append(items, *s.objects[kind][n])
	}
	answer := map[string]any{"items": items, "more": more, "asOf": s.revision}
	s.mu.Unlock()
	reply(w, http.StatusOK, answer)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// change serves a write, which may be conditional on the object's revision.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o struct {
		Meta struct {
			Name     string  `json:"name"`
			Revision *uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	if name == "" {
		name = o.Meta.Name
	}
	s.mu.Lock()
	old := s.objects[kind][name]
	var status int
	var answer any
	switch {
	case r.Method == http.MethodPost && old != nil, old != nil && o.Meta.Revision != nil && *o.Meta.Revision != old.Meta.Revision:
		status, answer = http.StatusConflict, *old
	case r.Method == http.MethodPut && old == nil:
		status = http.StatusNotFound
	default:
		status, answer = http.StatusOK, s.write(kind, name, o.Spec)
	}
	s.mu.Unlock()
	reply(w, status, answer)
}

// reply answers with a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
