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

// adminHandler serves operators, and metrics.
func (e *Entry) adminHandler() http.Handler {
	s := admin.Server{
		Operators: e.Settings.Operators, Tables: &e.tables, Status: e, Traces: e, Drainer: e, Orderer: e, Log: e.Log,
		Editor:  &editor.Editor{Objects: e.Objects, Holder: &e.tables, Replicate: e.spread},
		MaxBody: e.Settings.Limits.MaxBody,
	}
	m := http.NewServeMux()
	m.Handle("/admin/v1/", s.Handler())
	m.HandleFunc("GET /debug/vars", e.serveVars)
	m.HandleFunc("GET /ready", e.serveReady)
	return m
}

// serveVars gives the entry's metrics in expvar's form.
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
	v.Set("memstats", expvar.Get("memstats"))
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintln(w, v.String())
}

// Status gives the hosts as this entry knows them.
func (e *Entry) Status(ctx context.Context) (admin.Status, error) {
	own := e.state()
	s := admin.Status{Host: e.Settings.Name, Version: e.tables.Version(), Hosts: []admin.HostStatus{hostStatus(own, time.Now())}}
	for _, h := range e.askEntries(ctx) {
		s.Version = max(s.Version, h.Version)
		s.Hosts = append(s.Hosts, h)
	}
	for _, l := range e.sides.All() {
		s.Hosts = append(s.Hosts, sideStatus(l))
	}
	sort.Slice(s.Hosts, func(i, j int) bool { return s.Hosts[i].Host < s.Hosts[j].Host })
	return s, nil
}

// state is what this entry says of itself.
func (e *Entry) state() wire.State {
	return wire.State{
		Host: e.Settings.Name, Zone: e.Settings.Zone, Version: uint64(e.tables.Version()), Since: e.tables.Since(),
		Draining: e.draining.Load() || e.leaving.Load(), Stale: !e.inTouch(time.Now()), InFlight: int(e.recorder.Counts().Open),
	}
}

func hostStatus(s wire.State, heard time.Time) admin.HostStatus {
	h := admin.HostStatus{
		Host: s.Host, Zone: s.Zone, Role: "entry", State: admin.HostServing,
		Version: table.Version(s.Version), Since: s.Since, InFlight: s.InFlight, LastSeen: heard,
	}
	switch {
	case s.Draining:
		h.State = admin.HostDraining
	case s.Stale:
		h.State = admin.HostStale
	}
	return h
}

// askEntries asks every other entry in the record.
func (e *Entry) askEntries(ctx context.Context) []admin.HostStatus {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	others := e.entries.ForService(member.EntryService)
	answers := make(chan admin.HostStatus, len(others))
	for _, l := range others {
		e.work.Go(ctx, "status", func(ctx context.Context) error {
			var s wire.State
			if err := l.Call(ctx, wire.MethodState, struct{}{}, &s); err != nil {
				answers <- admin.HostStatus{Host: l.Member.Host, Zone: l.Member.Zone, Role: "entry", State: admin.HostUnreachable}
				return err
			}
			answers <- hostStatus(s, time.Now())
			return nil
		})
	}
	found := make([]admin.HostStatus, 0, len(others))
	for range others {
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
	b, heard := p.LastHeartbeat()
	if !heard {
		return h
	}
	h.State, h.LastSeen = admin.HostServing, b.NotBefore
	if b.Draining || l.Leaving.Load() {
		h.State = admin.HostDraining
	}
	if b.Load != nil {
		h.InFlight = b.Load.Running
	}
	return h
}

// Drain makes this entry, another, or a side take no new work.
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

// SendOrder passes an order to the side of an engine whose service the operator's
// teams have rows of.
func (e *Entry) SendOrder(ctx context.Context, o admin.OrderRequest, by table.Operator) (admin.OrderReply, error) {
	l := e.sides.Find(o.Host)
	if l == nil {
		return admin.OrderReply{}, admin.ErrUnknownHost
	}
	owns := func(r table.Row) bool { return r.Service == l.Member.Service && slices.Contains(by.Teams, r.Team) }
	if !slices.ContainsFunc(e.tables.Table().Rows(), owns) {
		return admin.OrderReply{}, admin.ErrNotTeamMember
	}
	var given wire.OrderReply
	err := l.Call(ctx, wire.MethodOrder, wire.Order{Kind: o.Kind, Value: o.Value, By: by.Name, Within: admin.DefaultOrderTimeout}, &given)
	return admin.OrderReply{OrderRequest: o, Fence: given.Fence}, errors.Wrapf(err, "entry: order to %s", o.Host)
}

// secure wraps a listener in TLS where the settings give a certificate.
func (e *Entry) secure(l net.Listener) (net.Listener, error) {
	files := e.Settings.TLS
	if files.CertFile == "" {
		return l, nil
	}
	pair, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "entry: tls")
	}
	return tls.NewListener(l, &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}), nil
}
