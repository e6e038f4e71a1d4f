package slots_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jacinthworks/domain"
	"jacinthworks/slots"
)

// outstanding is a granted slot in the model of the pool.
type outstanding struct {
	server   string
	deadline time.Time
}

// model checks the answers of a pool.
type model struct {
	*rapid.T
	pool     slots.Pool
	now      time.Time
	listed   map[string]int // slots by server
	granted  map[slots.Ticket]outstanding
	requests map[slots.Ticket]domain.RequestID
	answered map[domain.RequestID]int
}

// step lets time pass, after which expired tickets do not count.
func (m *model) step(d time.Duration) {
	m.now = m.now.Add(d)
	for t, o := range m.granted {
		if m.now.After(o.deadline) {
			delete(m.granted, t)
		}
	}
}

func (m *model) ask(id domain.RequestID) {
	c := slots.Call{
		Request: id, Rank: rapid.IntRange(0, 2).Draw(m.T, "rank"),
		Target:   m.now.Add(time.Duration(rapid.IntRange(-100, 600).Draw(m.T, "target")) * time.Millisecond),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(m.T, "deadline")) * time.Millisecond),
		Skip:     map[string]bool{m.server(): rapid.Bool().Draw(m.T, "skips")},
	}
	c.Answer = func(a slots.Answer) {
		m.answered[id]++
		if !a.Granted {
			return
		}
		if c.Skip[a.Server] {
			m.Fatalf("%s got server %s, which it skips", id, a.Server)
		}
		m.granted[a.Ticket], m.requests[a.Ticket] = outstanding{a.Server, c.Deadline}, id
		n := 0
		for _, o := range m.granted {
			if o.server == a.Server {
				n++
			}
		}
		if limit, ok := m.listed[a.Server]; !ok || n > limit+1 {
			m.Fatalf("%s: %d calls at server %s with %d slots, listed %v", id, n, a.Server, limit, ok)
		}
	}
	m.pool.Ask(m.now, c)
}

func (m *model) server() string { return fmt.Sprint("i-", rapid.IntRange(0, 3).Draw(m.T, "server")) }

// someTicket draws a ticket, which may have ended already; false if none was granted.
func (m *model) someTicket() (slots.Ticket, bool) {
	if len(m.requests) == 0 {
		return 0, false
	}
	return slots.Ticket(rapid.IntRange(1, len(m.requests)).Draw(m.T, "ticket")), true
}

func (m *model) end(t slots.Ticket) {
	_, held := m.granted[t]
	delete(m.granted, t)
	r := slots.Result{
		Outcome: rapid.SampledFrom([]slots.Outcome{slots.OK, slots.OK, slots.Failed, slots.Full, slots.Unsent, slots.Gone}).Draw(m.T, "outcome"),
		Took:    time.Duration(rapid.IntRange(0, 200).Draw(m.T, "took")) * time.Millisecond,
		// Statements are arbitrary: the bound must not depend on them.
		InFlight: rapid.IntRange(-1, 9).Draw(m.T, "in_flight"), HostLoad: float64(rapid.IntRange(0, 300).Draw(m.T, "load")) / 100,
	}
	if ended := m.pool.End(m.now, t, r); ended != held {
		m.Fatalf("ticket %d: ended %v, held %v", t, ended, held)
	}
}

// Guards against more calls at a server than its limit, for any order of asks, ends, lost ends,
// expiry, and servers that join, leave and change their slots; and against calls that get two
// answers or none.
func TestTicketsNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			T: t, now: time.Unix(1000, 0), granted: make(map[slots.Ticket]outstanding), requests: make(map[slots.Ticket]domain.RequestID),
			answered: make(map[domain.RequestID]int),
		}
		asked := 0
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				var all []slots.Server
				m.listed = make(map[string]int)
				for n := range 3 {
					if id := fmt.Sprint("i-", n); rapid.IntRange(0, 3).Draw(t, "listed") > 0 {
						m.listed[id] = rapid.IntRange(0, 4).Draw(t, "slots")
						all = append(all, slots.Server{ID: id, Slots: m.listed[id]})
					}
				}
				m.pool.SetServers(m.now, all)
			case 1, 2:
				m.step(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
				m.pool.Advance(m.now)
			case 3, 4, 5:
				if ticket, ok := m.someTicket(); ok {
					m.end(ticket)
				}
			case 6:
				if ticket, ok := m.someTicket(); ok {
					id := m.requests[ticket]
					delete(m.granted, ticket)
					m.pool.Cancel(m.now, id)
				}
			default:
				asked++
				m.ask(domain.RequestID(fmt.Sprint("r-", asked)))
			}
		}
		m.step(time.Hour)
		m.pool.Advance(m.now)
		for n := range asked {
			id := domain.RequestID(fmt.Sprint("r-", n+1))
			if m.answered[id] != 1 {
				t.Fatalf("%s got %d answers", id, m.answered[id])
			}
		}
	})
}
