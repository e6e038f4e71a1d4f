package editor

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/infra"
	"jacinthworks/table"
	"jacinthworks/test/seeded"
)

// Random tests draw from one seed, so that two runs of the tests agree.
func TestMain(m *testing.M) { seeded.Main(m) }

// fault is what goes wrong with one call.
type fault int

const (
	none       fault = iota
	down             // the platform answers that it does nothing
	lost             // the call never arrives, and no answer comes
	answerLost       // the call takes effect, and no answer comes
	late             // the write arrives a second after its caller gave up
	oldRead          // a read serves the version before the newest
	conflict         // the write finds another operator's in its place
	faults           // the number of faults
)

// platform is a fake object API with one object. Each call takes the next of
// its faults; with none left all goes well. It keeps every value it ever held.
type platform struct {
	infra.Objects // the calls that an editor doesn't make

	mu      sync.Mutex
	faults  []fault
	history []table.Table // by version; the first is the empty table
	puts    int
	pending sync.WaitGroup
}

func newPlatform(faults ...fault) *platform {
	rows := []table.Row{row("appraisal", "appraisal"), row("enquiry", "listing")}
	return &platform{faults: faults, history: []table.Table{{}, table.New(1, rows)}}
}

func row(kind domain.Kind, team string) table.Row {
	return table.Row{Service: "appraiser-lm", Zone: table.AnyZone, Kind: kind, Team: team, Weight: 1, InFlight: 8,
		Deadline: table.Duration(time.Minute)}
}

func (p *platform) next() fault {
	if len(p.faults) == 0 {
		return none
	}
	f := p.faults[0]
	p.faults = p.faults[1:]
	return f
}

func (p *platform) newest() table.Table { return p.history[len(p.history)-1] }

func (p *platform) Get(_ context.Context, _ string) (infra.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.newest()
	switch p.next() {
	case down:
		return infra.Object{}, infra.ErrRefused
	case lost, answerLost:
		return infra.Object{}, infra.ErrNoReply
	case oldRead:
		t = p.history[max(0, len(p.history)-2)]
	}
	if t.Version() == 0 {
		return infra.Object{}, infra.ErrNotFound
	}
	text, err := t.Encode()
	return infra.Object{Name: DefaultObjectName, Version: infra.Version(t.Version()), Value: text}, err
}

func (p *platform) Put(_ context.Context, _ string, value []byte, at infra.Version) (infra.Version, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.puts++
	switch p.next() {
	case down:
		return 0, infra.ErrRefused
	case lost:
		return 0, infra.ErrNoReply
	case answerLost:
		_, _ = p.write(value, at)
		return 0, infra.ErrNoReply
	case late:
		p.pending.Add(1)
		time.AfterFunc(time.Second, func() {
			defer p.pending.Done()
			p.mu.Lock()
			defer p.mu.Unlock()
			_, _ = p.write(value, at)
		})
		return 0, errors.Wrap(context.DeadlineExceeded, "put")
	case conflict:
		p.otherOperator()
	}
	return p.write(value, at)
}

func (p *platform) write(value []byte, at infra.Version) (infra.Version, error) {
	if infra.Version(p.newest().Version()) != at {
		return 0, infra.ErrConflict
	}
	t, err := table.Decode(value)
	if err != nil {
		return 0, err
	}
	p.history = append(p.history, t.WithVersion(table.Version(at)+1))
	return at + 1, nil
}

// otherOperator writes an edit of the other row in between.
func (p *platform) otherOperator() {
	now := p.newest()
	id := table.EditID(fmt.Sprintf("other-%d", now.Version()))
	t, err := now.Apply(weightEdit(id, "enquiry", "2"), table.Operator{Name: "ravi", Teams: []string{"listing"}})
	if err == nil {
		p.history = append(p.history, t.WithVersion(now.Version()+1))
	}
}
