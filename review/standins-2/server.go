package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in of one server, a model server or an application.
type server struct {
	p     *play
	fleet *fleet
	id    string
	// service, zone and version are as in its entry.
	service, zone, version string
	addr                   string
	listener               net.Listener
	http                   *http.Server

	mu    sync.Mutex
	born  int64
	stage string // prefill or decode, empty for an application
	// sequence, fence and busyUntil are of its orders.
	sequence  int
	fence     uint64
	busyUntil time.Time
	// used are the tokens of running requests, held those of reservations.
	used    int
	running int
	holds   map[string]int
	nextID  int
	// prefillFree is when the prompts that wait have been read.
	prefillFree time.Time
	handles     map[string]int
	draining    bool
	// work is the time that a plain request takes.
	work time.Duration
}

// fleet is all servers and what they did.
type fleet struct {
	p     *play
	store *store

	mu      sync.Mutex
	servers []*server
	orders  []order
	runs    []run
	// onOrder decides whether an order gets no answer, and how much later it is carried out.
	onOrder func(n int) (unanswered bool, late time.Duration)
	// intercept, if set, may serve a request in place of the server.
	intercept func(s *server, w http.ResponseWriter, r *http.Request) bool
}

// order is an order as it arrived at a server.
type order struct {
	at     time.Time
	server string
	holder string
	fence  uint64
	to     string
	after  int
	status int // zero: no answer
}

// run is a request that a server began to run.
type run struct {
	at      time.Time
	id      string
	server  string
	method  string
	target  string
	body    string
	from    int // the event that it goes on after
	prefill bool
}

const (
	kvTotal      = 25081
	switchTime   = 6 * time.Second
	tokensPerMS  = 33.3333
	tokenTime    = 5 * time.Millisecond
	stride       = 13
	reservedLife = 2 * time.Second
)

func (f *fleet) add(id, service, zone, stage string) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &server{
		p: f.p, fleet: f, id: id, service: service, zone: zone, stage: stage, version: "v1", addr: l.Addr().String(), listener: l,
		born: time.Now().UnixMilli(), holds: make(map[string]int), handles: make(map[string]int), work: 30 * time.Millisecond,
	}
	s.http = &http.Server{Handler: s, ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	go func() { _ = s.http.Serve(l) }()
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	s.register()
	return s
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

func connOf(r *http.Request) net.Conn { return r.Context().Value(connKey{}).(net.Conn) }

// register writes the server's entry to the store.
func (s *server) register() {
	s.mu.Lock()
	state, slots := "ready", 64
	if s.draining {
		state = "draining"
	}
	e := map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": s.version, "slots": slots, "state": state, "coldRemainingMs": 0, "born": s.born,
	}
	if s.stage != "" {
		e["stage"] = s.stage
		e["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	} else {
		e["slots"] = 6
	}
	s.mu.Unlock()
	s.fleet.store.put("servers", s.id, e)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	s.mu.Lock()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,64", s.running))
	s.mu.Unlock()
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		reply(w, http.StatusMisdirectedRequest, nil)
		return
	}
	if s.fleet.intercept != nil && s.fleet.intercept(s, w, r) {
		return
	}
	switch {
	case r.URL.Path == "/report":
		s.report(w)
		return
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", s.id)
		reply(w, http.StatusOK, nil)
		return
	case r.URL.Path == "/order" && s.stage != "":
		s.serveOrder(w, r)
		return
	case r.URL.Path == "/hold-take" && s.stage != "":
		s.hold(w, r)
		return
	case r.Method == http.MethodDelete && s.stage != "":
		name := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
		s.mu.Lock()
		delete(s.holds, name)
		delete(s.handles, name)
		s.mu.Unlock()
		reply(w, http.StatusOK, nil)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	stage, busy := s.stage, time.Now().Before(s.busyUntil)
	s.mu.Unlock()
	switch {
	case busy:
		w.Header().Set("X-Not-Executed", "1")
		reply(w, http.StatusServiceUnavailable, nil)
	case stage == "":
		s.servePlain(w, r, string(body))
	case (stage == "prefill") != (r.Header.Get("X-Stage") == "prefill"):
		w.Header().Set("X-Instance-Id", s.id)
		reply(w, http.StatusMisdirectedRequest, nil)
	case stage == "prefill":
		s.prefill(w, r)
	default:
		s.decode(w, r, string(body))
	}
}

func (f *fleet) recordRun(s *server, r *http.Request, body string) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, run{
		at: time.Now(), id: r.Header.Get("X-Request-Id"), server: s.id, method: r.Method, target: r.RequestURI, body: body, from: from,
		prefill: r.Header.Get("X-Stage") == "prefill",
	})
}

// plainBody is the whole body of a plain server's answer.
func plainBody(serverID, id string) string { return "answer of " + serverID + " to " + id + "\n" }

func (s *server) servePlain(w http.ResponseWriter, r *http.Request, body string) {
	if strings.HasPrefix(r.URL.Path, "/moved/") || strings.HasPrefix(r.URL.Path, "/split/") {
		s.decode(w, r, body)
		return
	}
	s.fleet.recordRun(s, r, body)
	s.mu.Lock()
	s.running++
	work := s.work
	s.mu.Unlock()
	defer s.ended(0)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Server-Stamp", "stamp."+s.id)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, plainBody(s.id, r.Header.Get("X-Request-Id")))
}

func (s *server) ended(tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.used -= tokens
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	if s.stage == "" {
		s.mu.Unlock()
		reply(w, http.StatusNotFound, nil)
		return
	}
	answer := map[string]any{
		"stage": s.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": time.Now().Before(s.busyUntil),
		"sequence": s.sequence, "queued": 0, "active": s.running, "kvUsed": s.used + s.heldTokens(), "kvTotal": kvTotal, "kvHandles": len(s.handles), "born": s.born,
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, answer)
}

func (s *server) heldTokens() (n int) {
	for _, t := range s.holds {
		n += t
	}
	return n
}

func (s *server) hold(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Tokens int     `json:"tokens"`
		TTL    float64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used+s.heldTokens()+q.Tokens > kvTotal || time.Now().Before(s.busyUntil) {
		reply(w, http.StatusServiceUnavailable, nil)
		return
	}
	s.nextID++
	name := fmt.Sprintf("h%d", s.nextID)
	s.holds[name] = q.Tokens
	time.AfterFunc(time.Duration(q.TTL)*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.holds, name)
	})
	reply(w, http.StatusOK, map[string]any{"hold": name})
}

// tokens returns the prompt's length and the length of the answer.
func tokens(r *http.Request) (in, out int) {
	a, b, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	in, _ = strconv.Atoi(a)
	out, _ = strconv.Atoi(b)
	return in, out / 3
}

func (s *server) prefill(w http.ResponseWriter, r *http.Request) {
	in, _ := tokens(r)
	s.fleet.recordRun(s, r, "")
	took := time.Duration(float64(in) / tokensPerMS * float64(time.Millisecond))
	s.mu.Lock()
	now := time.Now()
	if s.prefillFree.Before(now) {
		s.prefillFree = now
	}
	s.prefillFree = s.prefillFree.Add(took)
	wait := s.prefillFree.Sub(now)
	s.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
		return
	}
	s.mu.Lock()
	s.nextID++
	name := fmt.Sprintf("%s-%d", s.id, s.nextID)
	s.handles[name] = in
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"kvHandle": name, "tokens": in, "version": 1})
}

// takeHandle takes a handle that another server keeps.
func (f *fleet) takeHandle(source string) bool {
	addr, name, _ := strings.Cut(source, "/")
	f.mu.Lock()
	all := f.servers
	f.mu.Unlock()
	for _, s := range all {
		if s.addr != addr {
			continue
		}
		s.mu.Lock()
		_, ok := s.handles[name]
		delete(s.handles, name)
		s.mu.Unlock()
		return ok
	}
	return false
}

// streamEvent is event n of the answer to a stream.
func streamEvent(id string, n int, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d of %s\n\n", n, version, n, id)
}

func (s *server) decode(w http.ResponseWriter, r *http.Request, body string) {
	in, out := tokens(r)
	if source := r.Header.Get("X-Kv-Source"); source != "" && !s.fleet.takeHandle(source) {
		w.Header().Set("X-Not-Executed", "1")
		reply(w, http.StatusServiceUnavailable, nil)
		return
	}
	s.mu.Lock()
	delete(s.holds, r.Header.Get("X-Kv-Hold"))
	s.running++
	s.used += in + out
	s.mu.Unlock()
	defer s.ended(in + out)
	s.fleet.recordRun(s, r, body)
	w.Header().Set("X-Server-Stamp", "stamp."+s.id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	id := r.Header.Get("X-Request-Id")
	for n := from + 1; n <= out/stride; n++ {
		select {
		case <-time.After(stride * tokenTime):
		case <-r.Context().Done():
			return
		}
		if _, err := io.WriteString(w, streamEvent(id, n, s.version)); err != nil || flush.Flush() != nil {
			return
		}
	}
}

func (s *server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Op     string  `json:"op"`
		Stage  string  `json:"stage"`
		Holder string  `json:"holder"`
		Fence  *uint64 `json:"fence"`
		After  *int    `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || q.Op != "stage" || q.Holder == "" || q.Fence == nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	o := order{at: time.Now(), server: s.id, holder: q.Holder, fence: *q.Fence, to: q.Stage, after: -1}
	if q.After != nil {
		o.after = *q.After
	}
	f := s.fleet
	f.mu.Lock()
	n := len(f.orders)
	f.orders = append(f.orders, o)
	f.mu.Unlock()
	unanswered, late := f.onOrder(n)
	if unanswered {
		s.p.logf("order %2d arrives at %s from %s, fence %d, to %s: no answer, carried out %v later", n+1, s.id, o.holder, o.fence, o.to, late)
		time.AfterFunc(late, func() { s.p.logf("order %2d is carried out now: status %d", n+1, s.apply(o)) })
		<-r.Context().Done()
		return
	}
	status := s.apply(o)
	f.mu.Lock()
	f.orders[n].status = status
	f.mu.Unlock()
	s.p.logf("order %2d arrives at %s from %s, fence %d, to %s: answered %d", n+1, s.id, o.holder, o.fence, o.to, status)
	reply(w, status, nil)
}

// apply carries out an order, and returns the status of its answer.
func (s *server) apply(o order) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case o.fence < s.fence:
		return http.StatusPreconditionFailed
	case time.Now().Before(s.busyUntil), o.after >= 0 && o.after != s.sequence:
		s.fence = o.fence
		return http.StatusConflict
	}
	s.fence = o.fence
	if s.stage == o.to {
		return http.StatusOK
	}
	s.sequence++
	s.busyUntil = time.Now().Add(switchTime)
	time.AfterFunc(switchTime, func() {
		s.mu.Lock()
		s.stage = o.to
		s.mu.Unlock()
		s.register()
	})
	return http.StatusAccepted
}
