package direct

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/feed"
	"jacinthworks/paths"
	"jacinthworks/roster"
)

// newSlotOwner returns a server that knows a plain service with one upstream, and an engine
// service.
func newSlotOwner() *Server {
	s := &Server{}
	s.init()
	s.config.Update(time.Now(), &paths.Config{Version: 1, Services: []paths.Service{{Name: "cards"}, {Name: "model", Engine: paths.Engine{TokensPerEvent: 1}}}})
	s.roster.SetAll(time.Now(), []feed.Item[roster.Server]{{Name: "i-1", Value: roster.Server{
		Start: roster.Start{ID: "i-1"}, Service: "cards", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 2,
	}}})
	return s
}

// askForSlot posts a message to the owner and returns the status and the answer.
func askForSlot(s *Server, body string) (status int, a slotResponse) {
	w := httptest.NewRecorder()
	s.serveSlot(w, httptest.NewRequest(http.MethodPost, slotPath, strings.NewReader(body)))
	_ = json.Unmarshal(w.Body.Bytes(), &a) // the body of a refused message is no answer
	return w.Code, a
}

// Guards against malformed messages that change an owner's state or make it stop.
func FuzzSlotMessages(f *testing.F) {
	f.Add(`{"service":"cards","request":"r","target_ms":100,"deadline_ms":100}`, `{"service":"cards","ticket":1,"outcome":"ok","took_ms":60,"in_flight":3,"upstream":"i-1","host_load":1.7}`)
	f.Add(`{"service":"cards","request":"r","target_ms":-1e13,"deadline_ms":100}`, `{"service":"cards","ticket":1,"outcome":"ok","took_ms":-1}`)
	f.Add(`{"service":"cards","request":"r","target_ms":1,"deadline_ms":-1}`, `{"service":"cards","ticket":1,"outcome":"done"}`)
	f.Add(`{"service":"other","request":"r","target_ms":1,"deadline_ms":1}`, `{"service":"cards","ticket":1,"outcome":"ok","in_flight":-3}`)
	f.Add(`{"service":"model","request":"r","target_ms":1,"deadline_ms":1}`, `{"service":"cards","outcome":"gone"}`)
	f.Add(`{"service":"cards","request":"r","rank":-1,"target_ms":1,"deadline_ms":1}`, `{"service":"cards","ticket":1,"outcome":"ok","host_load":1e13}`)
	f.Add(`{"service":"cards","request":"r","target_ms":1,"deadline_ms":1,"zone":3}`, `{"service":"cards","ticket":-1,"outcome":"ok"}`)
	f.Add(`{"service":"cards","target_ms":1,"deadline_ms":1}`, `{`)
	f.Add(`{"service":"cards","request":"r","target_ms":1e12,"deadline_ms":1e12,"skip":["i-1"]}`, `{"service":"cards","ticket":1,"outcome":"full","took_ms":1e12}`)
	f.Fuzz(func(t *testing.T, ask, end string) {
		s := newSlotOwner()
		status, _ := askForSlot(s, ask)
		pool := s.slotPools.find("cards")
		if status != http.StatusOK {
			require.Contains(t, []int{http.StatusBadRequest, http.StatusServiceUnavailable}, status)
			require.Nil(t, pool, "a rejected message changes no state")
			return
		}
		var call slotRequest
		require.NoError(t, json.NewDecoder(strings.NewReader(ask)).Decode(&call))
		require.True(t, call.valid())
		require.Equal(t, domain.Service("cards"), call.Service)
		before := pool.Totals(time.Now())
		w := httptest.NewRecorder()
		ownerHandler(s, s.handleSlotEnd)(w, httptest.NewRequest(http.MethodPost, slotEndPath, strings.NewReader(end)))
		if w.Code != http.StatusOK {
			require.Equal(t, before.Running, pool.Totals(time.Now()).Running)
		}
	})
}

// Guards against a slot that stays occupied after its use was reported, or after the entry that
// asked for it broke off its call.
func TestSlotIsFreeAfterItsEndAndAfterCancel(t *testing.T) {
	s := newSlotOwner()
	ask := func(id string) slotResponse {
		status, a := askForSlot(s, `{"service":"cards","request":"`+id+`","target_ms":300,"deadline_ms":60000}`)
		require.Equal(t, http.StatusOK, status)
		require.True(t, a.Granted, a.Reason)
		require.Equal(t, roster.ID("i-1"), a.Upstream)
		return a
	}
	first := ask("r-1")
	ask("r-2")
	status, a := askForSlot(s, `{"service":"cards","request":"r-3","target_ms":-5,"deadline_ms":900}`)
	require.Equal(t, http.StatusOK, status)
	require.False(t, a.Granted, "a late call gets no slot of a full pool")
	require.InDelta(t, 450, a.WaitedMS, 60, "it waits for half of the time that is left")
	require.InDelta(t, 141, a.RetryAfterMS, 30, "a third of the rest, less a spread of up to a quarter")

	_, ok := s.handleSlotEnd(slotEnd{Service: "cards", Ticket: first.Ticket, Outcome: "ok", TookMS: 10})
	require.True(t, ok)
	ask("r-4")
	_, ok = s.handleSlotEnd(slotEnd{Service: "cards", Request: "r-2", Outcome: "gone"})
	require.True(t, ok)
	ask("r-5")
}
