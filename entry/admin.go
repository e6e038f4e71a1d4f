package entry

import (
	"context"
	"crypto/tls"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/admin"
	"jacinthworks/domain"
	"jacinthworks/editor"
	"jacinthworks/member"
	"jacinthworks/peers"
	"jacinthworks/table"
	"jacinthworks/wire"
)

// adminHandler serves the operators' API, metrics and readiness.
func (e *Entry) adminHandler() http.Handler {
	s := admin.Server{
		Operators: e.Settings.Operators, TableSource: &e.tables, StatusSource: e, Traces: e, Drainer: e, Orderer: e, Log: e.Log,
		Editor:  &editor.Editor{Objects: e.Objects, Holder: &e.tables, Replicate: e.replicateTable},
		MaxBody: e.Settings.Limits.MaxBody,
	}
	m := http.NewServeMux()
	m.Handle("/admin/v1/", s.Handler())
	m.HandleFunc("GET /debug/vars", e.serveVars)
	m.HandleFunc("GET /ready", e.serveReady)
	return m
}

// serveVars writes the entry's metrics in the format of package expvar.
func (e *Entry) serveVars(w http.ResponseWriter, _ *http.Request) {
	c := e.recorder.Counts()
	var v expvar.Map
	add := func(name string, n int64) { i := new(expvar.Int); i.Set(n); v.Set(name, i) }
	add("requests_accepted", c.Accepted)
	add("requests_answered", c.Answered)
	add("requests_refused", c.Refused)
	add("requests_open", c.Open)
	add("stories_second_ends", c.SecondEnds)
	add("stories_dropped", c.Dropped)
	add("stories_pending", c.Pending)
	add("table_version", int64(e.tables.Version()))
	add("sides_connected", int64(len(e.sides.Connected())))
	add("entries_connected", int64(len(e.entries.Connected())))
	add("handler_panics", e.panics.Load())
	if e.Invalid != nil {
		add("responses_invalid", e.Invalid.Count())
	}
	v.Set("memstats", expvar.Get("memstats"))
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintln(w, v.String())
}

// Status returns the state of all hosts that this entry has in its records, and the
// newest table version among the entries.
func (e *Entry) Status(ctx context.Context) (admin.Status, error) {
	own := e.state()
	s := admin.Status{Host: e.Settings.Name, Version: e.tables.Version(), Hosts: []admin.HostStatus{hostStatus(own, time.Now())}}
	for _, h := range e.entryStatuses(ctx) {
		s.Version = max(s.Version, h.Version)
		s.Hosts = append(s.Hosts, h)
	}
	for _, l := range e.sides.All() {
		s.Hosts = append(s.Hosts, sideStatus(l))
	}
	sort.Slice(s.Hosts, func(i, j int) bool { return s.Hosts[i].Host < s.Hosts[j].Host })
	return s, nil
}

// state returns the state that this entry reports of itself.
func (e *Entry) state() wire.EntryState {
	return wire.EntryState{
		Host: e.Settings.Name, Zone: e.Settings.Zone, TableVersion: uint64(e.tables.Version()), InForceSince: e.tables.InForceSince(),
		Draining: e.draining.Load() || e.leaving.Load(), Stale: !e.tableFresh(), InFlight: int(e.recorder.Counts().Open),
	}
}

func hostStatus(s wire.EntryState, lastSeen time.Time) admin.HostStatus {
	h := admin.HostStatus{
		Host: s.Host, Zone: s.Zone, Role: "entry", State: admin.HostServing,
		Version: table.Version(s.TableVersion), Since: s.InForceSince, InFlight: s.InFlight, LastSeen: lastSeen,
	}
	switch {
	case s.Draining:
		h.State = admin.HostDraining
	case s.Stale:
		h.State = admin.HostStale
	}
	return h
}

// entryStatuses requests the state of every other entry in the record.
func (e *Entry) entryStatuses(ctx context.Context) []admin.HostStatus {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries := e.entries.ForService(member.EntryService)
	answers := make(chan admin.HostStatus, len(entries))
	for _, l := range entries {
		e.background.Call(ctx, "status", func(ctx context.Context) error {
			var s wire.EntryState
			if err := l.Call(ctx, wire.MethodState, struct{}{}, &s); err != nil {
				answers <- admin.HostStatus{Host: l.Member.Host, Zone: l.Member.Zone, Role: "entry", State: admin.HostUnreachable}
				return err
			}
			answers <- hostStatus(s, time.Now())
			return nil
		})
	}
	found := make([]admin.HostStatus, 0, len(entries))
	for range entries {
		found = append(found, <-answers)
	}
	return found
}

func sideStatus(l *peers.Link) admin.HostStatus {
	h := admin.HostStatus{
		Host: l.Member.Host, Zone: l.Member.Zone, Role: l.Member.Role, Service: l.Member.Service, State: admin.HostUnreachable,
	}
	p := l.Peer()
	if p == nil {
		return h
	}
	b, received := p.LastHeartbeat()
	if !received {
		return h
	}
	h.State, h.LastSeen = admin.HostServing, b.NotBefore
	if b.Draining || l.HostLeaving.Load() {
		h.State = admin.HostDraining
	}
	if b.Load != nil {
		h.InFlight = b.Load.Running
	}
	return h
}

// Drain makes the host take no new work: this entry, another entry or a side. It returns
// admin.ErrUnknownHost if there is no such host.
func (e *Entry) Drain(ctx context.Context, host domain.Host, by string) error {
	e.Log.Info("drain", "target", host, "by", by)
	if host == e.Settings.Name {
		e.leaving.Store(true)
		return nil
	}
	l := e.sides.Find(host)
	if l == nil {
		l = e.entries.Find(host)
	}
	if l == nil {
		return admin.ErrUnknownHost
	}
	return errors.Wrapf(l.Call(ctx, wire.MethodDrain, struct{}{}, nil), "entry: drain %s", host)
}

// SendOrder sends an order to the side of an engine. It returns admin.ErrNotTeamMember
// unless the table has a row for the engine's service that belongs to one of the
// operator's teams.
func (e *Entry) SendOrder(ctx context.Context, o admin.OrderRequest, by table.Operator) (admin.OrderReply, error) {
	l := e.sides.Find(o.Host)
	if l == nil {
		return admin.OrderReply{}, admin.ErrUnknownHost
	}
	owns := func(r table.Row) bool { return r.Service == l.Member.Service && slices.Contains(by.Teams, r.Team) }
	if !slices.ContainsFunc(e.tables.Table().Rows(), owns) {
		return admin.OrderReply{}, admin.ErrNotTeamMember
	}
	var reply wire.OrderReply
	err := l.Call(ctx, wire.MethodOrder, wire.Order{Kind: o.Kind, Value: o.Value, Operator: by.Name, Timeout: admin.DefaultOrderTimeout}, &reply)
	return admin.OrderReply{OrderRequest: o, Fence: reply.Fence}, errors.Wrapf(err, "entry: order to %s", o.Host)
}

// withTLS wraps the listener in TLS where the settings name a certificate.
func (e *Entry) withTLS(l net.Listener) (net.Listener, error) {
	files := e.Settings.TLS
	if files.CertFile == "" {
		return l, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "entry: load the TLS certificate")
	}
	return tls.NewListener(l, &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}), nil
}
