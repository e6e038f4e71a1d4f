package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store in the form "objects". It loses nothing, and all
// its answers are current. Entries of kind "servers" are removed after three missed heartbeats.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	written  map[string]time.Time // of the entries of servers
	changed  chan struct{}
	listener net.Listener
}

type object struct {
	Meta struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

const (
	heartbeat = 1200 * time.Millisecond
	pageSize  = 500
	// answerTime is how long the store takes for an answer.
	answerTime = 4 * time.Millisecond
)

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: 1, objects: make(map[string]map[string]object), written: make(map[string]time.Time), changed: make(chan struct{}), listener: l}
	go func() { _ = http.Serve(l, s) }()
	go s.expire()
	return s, nil
}

func (s *store) addr() string { return s.listener.Addr().String() }

// expire removes the entries of servers that have been silent for three heartbeats.
func (s *store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for name, at := range s.written {
			if time.Since(at) > 3*heartbeat {
				s.remove("servers", name)
			}
		}
		s.mu.Unlock()
	}
}

// putSpec writes an object as the operator does.
func (s *store) putSpec(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Spec = text
	s.write(kind, name, o)
}

// write stores an object. s.mu must be held.
func (s *store) write(kind, name string, o object) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.revision++
	if o.Meta.Created == 0 {
		o.Meta.Created = s.revision
	}
	o.Meta.Name, o.Meta.Revision = name, s.revision
	if o.Meta.Finalizers == nil {
		o.Meta.Finalizers = []string{}
	}
	s.objects[kind][name] = o
	if kind == "servers" {
		s.written[name] = time.Now()
	}
	s.record(change{kind: kind, revision: s.revision, Object: o})
	return o
}

// remove deletes an object. s.mu must be held.
func (s *store) remove(kind, name string) {
	o := s.objects[kind][name]
	delete(s.objects[kind], name)
	delete(s.written, name)
	s.revision++
	s.record(change{kind: kind, revision: s.revision, Object: o, Deleted: true})
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls of the objects interface.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	w.Header().Set("Store-Era", "1")
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	isStatus := len(parts) > 2 && parts[2] == "status"
	switch {
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		o, found := s.objects[kind][name]
		s.mu.Unlock()
		if !found {
			answer(w, http.StatusNotFound, nil)
			return
		}
		answer(w, http.StatusOK, o)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.change(w, r, kind, name, isStatus)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for n := range s.objects[kind] {
		if n > r.URL.Query().Get("after") {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	items := []object{}
	for _, n := range names[:min(len(names), pageSize)] {
		items = append(items, s.objects[kind][n])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "more": len(names) > pageSize, "asOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		events, asOf, changed := []change{}, s.revision, s.changed
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || expired {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			answer(w, http.StatusBadRequest, nil)
			return
		}
	}
	expected := o.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	if name == "" {
		name = o.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, found := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && found, found && expected != 0 && expected != old.Meta.Revision:
		answer(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !found:
		answer(w, http.StatusNotFound, nil)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		answer(w, http.StatusOK, old)
	case isStatus:
		old.Status = o.Status
		answer(w, http.StatusOK, s.write(kind, name, old))
	default:
		old.Spec, old.Meta.Finalizers = o.Spec, o.Meta.Finalizers
		answer(w, http.StatusOK, s.write(kind, name, old))
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}
