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

// edit is one operator's edit and what became of it.
type edit struct {
	row     table.Key
	cell    table.Cell
	outcome editor.Outcome
	err     error
	done    chan struct{}
}

// operator gives the operators' view of an entry.
func (w *world) operator(entry, who string) (*admin.Client, error) {
	p, err := w.find(entry)
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
		return table.Key{}, errors.Errorf("not SERVICE/ZONE/KIND: %q", text)
	}
	return table.Key{Service: domain.Service(parts[0]), Zone: domain.Zone(parts[1]), Kind: domain.Kind(parts[2])}, nil
}

// stepEdit sends an edit: edit NAME entry=1 [as=bola] row=S/Z/K COLUMN=VALUE
// [for=5s] [&].
func stepEdit(w *world, args []string) error {
	o := options(args[1:])
	c, err := w.operator("entry-"+or(o["entry"], "1"), o["as"])
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
	within, err := time.ParseDuration(or(o["for"], "10s"))
	if err != nil {
		return err
	}
	w.mu.Lock()
	if w.edits == nil {
		w.edits = make(map[string]*edit)
	}
	w.edits[args[0]] = ed
	w.mu.Unlock()
	go func() { // its end is ed.done
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

// stepEdited checks what became of an edit: edited NAME accepted|refused|unsettled.
func stepEdited(w *world, args []string) error {
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
	return errors.Errorf("is %+v (%v)", ed.outcome, ed.err)
}

// stepInForce waits until a cell has a value at the entries named: inforce
// S/Z/K COLUMN=VALUE within=5s ENTRY...
func stepInForce(w *world, args []string) error {
	o := options(args[1:])
	within, err := time.ParseDuration(or(o["within"], "5s"))
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
			if err := w.timed(EditsPersist, within, func() error { return w.holds(entry, key, name, value) }); err != nil {
				return err
			}
		}
	}
	return nil
}

// holds says whether an entry's table has the value.
func (w *world) holds(entry string, key table.Key, column, value string) error {
	c, err := w.operator(entry, "")
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

// watcher reads one cell's versions at every entry, to see that none reverts.
type watcher struct {
	mu       sync.Mutex
	highest  map[string]table.Version
	reverted []string
}

// stepWatch follows the table's version at every entry until the scenario
// ends; judge reports an entry that went back.
func stepWatch(w *world, _ []string) error {
	w.watch = &watcher{highest: make(map[string]table.Version)}
	for _, name := range w.entries {
		w.relays.Go(w.ctx, "watch", func(ctx context.Context) error {
			for ctx.Err() == nil {
				w.watch.look(w, name)
				pause(ctx, 20*time.Millisecond)
			}
			return nil
		})
	}
	return nil
}

func (v *watcher) look(w *world, entry string) {
	c, err := w.operator(entry, "")
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
		return // an entry that has just started holds no table, and is not ready
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if t.Version() < v.highest[entry] {
		v.reverted = append(v.reverted, entry)
	}
	v.highest[entry] = max(v.highest[entry], t.Version())
}

// stepStory asks an entry for a call's story: story NAME entry=2 state=answered
// [ran=R] [events=accepted,answered] [missing].
func stepStory(w *world, args []string) error {
	call := w.calls[args[0]]
	if call == nil {
		return errors.Errorf("no call %q", args[0])
	}
	o := options(args[1:])
	return w.eventually(5*time.Second, func() error {
		c, err := w.operator("entry-"+or(o["entry"], "2"), "")
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(w.ctx, 3*time.Second)
		defer cancel()
		a, err := c.Trace(ctx, call.look().id)
		if err != nil {
			return err
		}
		return matches(a, o)
	})
}

func matches(a trace.Trace, o map[string]string) error {
	if want := o["state"]; want != "" && string(a.State) != want {
		return errors.Errorf("state is %s, not %s: %+v", a.State, want, a)
	}
	if want := o["ran"]; want != "" && string(a.Execution) != want {
		return errors.Errorf("ran is %s, not %s: %+v", a.Execution, want, a)
	}
	for _, kind := range words(o["events"]) {
		found := false
		for _, v := range a.Events {
			found = found || string(v.Kind) == kind
		}
		if !found {
			return errors.Errorf("no event %s: %+v", kind, a.Events)
		}
	}
	if _, want := o["missing"]; want && len(a.Missing) == 0 {
		return errors.Errorf("says nothing of what is missing: %+v", a)
	}
	return a.Findings.Err()
}

// stepOrder gives an order to an engine: order HOST load|adapter VALUE.
func stepOrder(w *world, args []string) error {
	c, err := w.operator("entry-1", "")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(w.ctx, WaitTimeout)
	defer cancel()
	_, err = c.SendOrder(ctx, admin.OrderRequest{Host: domain.Host(args[0]), Kind: engine.OrderKind(args[1]), Value: args[2]})
	return err
}

// stepOrders checks which orders an engine took, in their order: orders
// ENGINE [VALUE ...].
func stepOrders(w *world, args []string) error {
	p, err := w.find(args[0])
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
			return errors.Errorf("fencing number %d after %d", o.Fence, last)
		}
		last = o.Fence
	}
	if !slices.Equal(values, args[1:]) {
		return errors.Errorf("took %v, not %v", values, args[1:])
	}
	return nil
}
