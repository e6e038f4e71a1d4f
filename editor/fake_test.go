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

// Property tests use a fixed seed, so that every run draws the same cases.
func TestMain(m *testing.M) { seeded.Main(m) }

// fault is the fault of one call to the fake platform.
type fault int

const (
	none         fault = iota
	down               // the platform responds that it did nothing
	lost               // the call never arrives, and there is no response
	responseLost       // the call takes effect, and there is no response
	late               // the write arrives a second after its caller timed out
	staleRead          // a read returns the version before the newest
	conflict           // another operator's edit is written first
	faultCount         // the number of kinds of faults
)

// platform is a fake object API with one object, the table. Each call consumes the next
// of its faults; once there are none left, calls succeed. It keeps every version.
type platform struct {
	infra.Objects // nil: an editor doesn't make the other calls

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
	case lost, responseLost:
		return infra.Object{}, infra.ErrNoReply
	case staleRead:
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
	case responseLost:
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

// otherOperator writes another operator's edit of the other row.
func (p *platform) otherOperator() {
	current := p.newest()
	id := table.EditID(fmt.Sprintf("other-%d", current.Version()))
	t, err := current.Apply(weightEdit(id, "enquiry", "2"), table.Operator{Name: "ravi", Teams: []string{"listing"}})
	if err == nil {
		p.history = append(p.history, t.WithVersion(current.Version()+1))
	}
}
