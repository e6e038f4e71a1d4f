package test

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/admin"
	"jacinthworks/conf"
	"jacinthworks/domain"
	"jacinthworks/editor"
	"jacinthworks/engine"
	"jacinthworks/fakes/model"
	"jacinthworks/table"
	"jacinthworks/trace"
)

// edit is an operator's edit and its outcome.
type edit struct {
	row     table.Key
	cell    table.Cell
	outcome editor.Outcome
	err     error
	done    chan struct{}
}

// adminClient returns an admin client of an operator for an entry.
func (w *world) adminClient(entry, who string) (*admin.Client, error) {
	p, err := w.findProcess(entry)
	if err != nil {
		return nil, err
	}
	token := operatorToken
	if who == "bola" {
		token = rivalToken
	}
	return &admin.Client{Address: p.admin, Token: conf.Secret(token), RetryInterval: 200 * time.Millisecond}, nil
}

func parseKey(text string) (table.Key, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return table.Key{}, errors.Errorf("parse row %q: want SERVICE/ZONE/KIND", text)
	}
	return table.Key{Service: domain.Service(parts[0]), Zone: domain.Zone(parts[1]), Kind: domain.Kind(parts[2])}, nil
}

// cmdEdit sends an edit: edit NAME entry=1 [as=bola] row=S/Z/K COLUMN=VALUE
// [for=10s] [&]. The client gives up after the time of for.
func cmdEdit(w *world, args []string) error {
	o := parseOptions(args[1:])
	c, err := w.adminClient("entry-"+orDefault(o["entry"], "1"), o["as"])
	if err != nil {
		return err
	}
	ed := &edit{done: make(chan struct{})}
	if ed.row, err = parseKey(o["row"]); err != nil {
		return err
	}
	for name, value := range o {
		if name != "entry" && name != "as" && name != "row" && name != "for" && name != "&" {
			ed.cell = table.Cell{Column: table.Column(name), Value: table.Value(value)}
		}
	}
	within, err := time.ParseDuration(orDefault(o["for"], "10s"))
	if err != nil {
		return err
	}
	w.mu.Lock()
	if w.edits == nil {
		w.edits = make(map[string]*edit)
	}
	w.edits[args[0]] = ed
	w.mu.Unlock()
	go func() { // closes ed.done
		defer close(ed.done)
		ctx, cancel := context.WithTimeout(w.ctx, within)
		defer cancel()
		ed.outcome, ed.err = c.Edit(ctx, admin.EditRequest{Edit: table.Edit{
			ID: admin.NewEditID(), Changes: []table.Change{table.Set(ed.row, ed.cell)},
		}})
	}()
	if _, background := o["&"]; background {
		return nil
	}
	<-ed.done
	return nil
}

// cmdEdited checks the outcome of an edit: edited NAME accepted|refused|unsettled.
func cmdEdited(w *world, args []string) error {
	ed := w.edits[args[0]]
	if ed == nil {
		return errors.Errorf("no edit %q", args[0])
	}
	<-ed.done
	for _, want := range strings.Split(args[1], "|") {
		if string(ed.outcome.State) == want {
			return nil
		}
	}
	return errors.Errorf("outcome is %+v (%v)", ed.outcome, ed.err)
}

// cmdInForce waits until a cell has a value at the given entries: inforce
// S/Z/K COLUMN=VALUE within=5s ENTRY...
func cmdInForce(w *world, args []string) error {
	o := parseOptions(args[1:])
	within, err := time.ParseDuration(orDefault(o["within"], "5s"))
	if err != nil {
		return err
	}
	key, err := parseKey(args[0])
	if err != nil {
		return err
	}
	for name, value := range o {
		if strings.HasPrefix(name, "entry-") || name == "within" {
			continue
		}
		for entry := range o {
			if !strings.HasPrefix(entry, "entry-") {
				continue
			}
			if err := w.eventuallyTimed(EditsPersist, within, func() error { return w.checkCell(entry, key, name, value) }); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkCell returns an error unless the cell has the value in the table of an entry.
func (w *world) checkCell(entry string, key table.Key, column, value string) error {
	c, err := w.adminClient(entry, "")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	t, err := c.Table(ctx)
	if err != nil {
		return err
	}
	row, found := t.Find(key.Service, key.Zone, key.Kind)
	if !found {
		return errors.Errorf("%s has no row %s", entry, key)
	}
	got := map[string]string{"weight": strconv.Itoa(row.Weight), "queue_limit": strconv.Itoa(row.QueueLimit), "in_flight": strconv.Itoa(row.InFlight)}[column]
	if got != value {
		return errors.Errorf("%s has %s=%s, not %s, at version %d", entry, column, got, value, t.Version())
	}
	return nil
}

// watcher records the table versions that each entry reports, to detect an entry that
// reverts to an older version.
type watcher struct {
	mu       sync.Mutex
	highest  map[string]table.Version
	reverted []string
}

// cmdWatch reads the table version of every entry until the scenario ends. The command judge
// reports each entry whose version decreased.
func cmdWatch(w *world, _ []string) error {
	w.tableWatcher = &watcher{highest: make(map[string]table.Version)}
	for _, name := range w.entries {
		w.background.Go(w.ctx, "watch", func(ctx context.Context) error {
			for ctx.Err() == nil {
				w.tableWatcher.readVersion(w, name)
				sleep(ctx, 20*time.Millisecond)
			}
			return nil
		})
	}
	return nil
}

// readVersion compares the table version of an entry with the highest version seen there.
func (v *watcher) readVersion(w *world, entry string) {
	c, err := w.adminClient(entry, "")
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	t, err := c.Table(ctx)
	if err != nil {
		return
	}
	if t.Version() == 0 {
		return // a restarted entry has no table yet and is not ready
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if t.Version() < v.highest[entry] {
		v.reverted = append(v.reverted, entry)
	}
	v.highest[entry] = max(v.highest[entry], t.Version())
}

// cmdStory reads the trace of a call from an entry and checks it: story NAME entry=2
// state=answered [ran=R] [events=accepted,answered] [missing].
func cmdStory(w *world, args []string) error {
	call := w.calls[args[0]]
	if call == nil {
		return errors.Errorf("no call %q", args[0])
	}
	o := parseOptions(args[1:])
	return w.eventually(5*time.Second, func() error {
		c, err := w.adminClient("entry-"+orDefault(o["entry"], "2"), "")
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(w.ctx, 3*time.Second)
		defer cancel()
		a, err := c.Trace(ctx, call.snapshot().id)
		if err != nil {
			return err
		}
		return checkTrace(a, o)
	})
}

// checkTrace compares a trace with the options of story.
func checkTrace(a trace.Trace, o map[string]string) error {
	if want := o["state"]; want != "" && string(a.State) != want {
		return errors.Errorf("state is %s, not %s: %+v", a.State, want, a)
	}
	if want := o["ran"]; want != "" && string(a.Execution) != want {
		return errors.Errorf("ran is %s, not %s: %+v", a.Execution, want, a)
	}
	for _, kind := range splitCommas(o["events"]) {
		found := false
		for _, v := range a.Events {
			found = found || string(v.Kind) == kind
		}
		if !found {
			return errors.Errorf("event %s is missing: %+v", kind, a.Events)
		}
	}
	if _, want := o["missing"]; want && len(a.Missing) == 0 {
		return errors.Errorf("trace lists no missing parts: %+v", a)
	}
	return a.Findings.Err()
}

// cmdOrder sends an order to an engine: order HOST load|adapter VALUE.
func cmdOrder(w *world, args []string) error {
	c, err := w.adminClient("entry-1", "")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(w.ctx, WaitTimeout)
	defer cancel()
	_, err = c.SendOrder(ctx, admin.OrderRequest{Host: domain.Host(args[0]), Kind: engine.OrderKind(args[1]), Value: args[2]})
	return err
}

// cmdOrders checks which orders an engine received, in this sequence, and that their fencing
// tokens increase: orders ENGINE [VALUE ...].
func cmdOrders(w *world, args []string) error {
	p, err := w.findProcess(args[0])
	if err != nil {
		return err
	}
	var got []model.ReceivedOrder
	if err := getJSON(w.ctx, "http://"+p.address.String()+"/orders", &got); err != nil {
		return err
	}
	var values []string
	last := uint64(0)
	for _, o := range got {
		values = append(values, o.Value)
		if o.Fence <= last {
			return errors.Errorf("received fencing token %d after %d", o.Fence, last)
		}
		last = o.Fence
	}
	if !slices.Equal(values, args[1:]) {
		return errors.Errorf("received orders %v, not %v", values, args[1:])
	}
	return nil
}
