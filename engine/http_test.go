package engine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/fakes/apps"
	"jacinthworks/fakes/model"
	"jacinthworks/fakes/serve"
)

var fast = model.Settings{PrefillRate: 1e6, TokenGap: time.Millisecond, LinkRate: 1e7, ReportLag: -1, KVLifetime: time.Minute}

const silence = 100 * time.Millisecond

func serveHTTP(t *testing.T, h http.Handler) *serve.Server {
	t.Helper()
	s := &serve.Server{Handler: h}
	_, err := s.Start(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	t.Cleanup(s.Stop)
	return s
}

func startEngine(t *testing.T, e *model.Engine) *engine.HTTPModel {
	t.Helper()
	s := serveHTTP(t, e)
	e.OnCrash = s.Crash
	return &engine.HTTPModel{Base: s.Addr(), PrefillTimeout: 10 * time.Second, TokenTimeout: 10 * time.Second}
}

func prefill(prompt string) engine.PrefillOrder {
	return engine.PrefillOrder{Request: "entry-1.1.1", Attempt: 1, Prompt: prompt, PromptTokens: 400}
}

func decode(kv engine.KV) engine.DecodeOrder {
	return engine.DecodeOrder{Request: "entry-1.1.1", Attempt: 1, KV: kv, MaxTokens: 6}
}

func TestPrefillTransferDecode(t *testing.T) {
	p := startEngine(t, &model.Engine{Settings: fast})
	d := &model.Engine{Settings: fast}
	m := startEngine(t, d)
	kv, err := p.Prefill(t.Context(), prefill("pedigree"))
	require.NoError(t, err)
	require.Equal(t, p.Base, kv.Engine)
	require.Equal(t, time.Minute, kv.Life)
	var text strings.Builder
	next := 0
	err = m.Decode(t.Context(), decode(kv), func(token engine.Token) error {
		require.Equal(t, next, token.Offset)
		next++
		text.WriteString(token.Text)
		return nil
	})
	require.NoError(t, err)
	require.Equal(t, model.Completion("pedigree", 6), text.String())
	state, err := m.State(t.Context())
	require.NoError(t, err)
	require.Zero(t, state.UsedTokens)
	require.Equal(t, model.Done, d.Runs()[0].Outcome)
}

func TestEachModelErrorClass(t *testing.T) {
	e := &model.Engine{Settings: fast}
	m := startEngine(t, e)
	nothing := func(engine.Token) error { return nil }
	ctx := t.Context()

	e.SetFault(model.Fault{Refuse: true})
	_, err := m.Prefill(ctx, prefill("x"))
	require.ErrorIs(t, err, engine.ErrNotStarted, "its own word")
	e.SetFault(model.Fault{})

	err = m.Decode(ctx, decode(engine.KV{Engine: m.Base, Handle: "none", Tokens: 400}), nothing)
	require.ErrorIs(t, err, engine.ErrEvicted)

	require.NoError(t, m.Give(ctx, engine.Order{Kind: engine.OrderLoad, Value: "logwriter", Fence: 2}))
	err = m.Give(ctx, engine.Order{Kind: engine.OrderLoad, Value: "old", Fence: 1})
	require.ErrorIs(t, err, engine.ErrFenced)
	require.NoError(t, m.Cancel(ctx, "never-seen"))

	e.SetFault(model.Fault{LoseAnswers: 1})
	_, err = m.Prefill(ctx, prefill("x"))
	require.ErrorIs(t, err, engine.ErrCrashed)
	require.Len(t, e.Runs(), 2, "the prefill ran, once, beside the decode that found no cache")

	mine := errors.New("the entry is gone")
	kv, err := m.Prefill(ctx, prefill("x"))
	require.NoError(t, err)
	err = m.Decode(ctx, decode(kv), func(engine.Token) error { return mine })
	require.ErrorIs(t, err, mine)
	require.Eventually(t, func() bool {
		runs := e.Runs()
		last := runs[len(runs)-1]
		return last.Outcome == model.Done && last.Tokens == 6
	}, 10*time.Second, time.Millisecond, "a reader that has gone cancels nothing")

	e.SetFault(model.Fault{Frozen: true})
	frozen := &engine.HTTPModel{Base: m.Base, PrefillTimeout: silence, TokenTimeout: silence}
	_, err = frozen.Prefill(ctx, prefill("x"))
	require.ErrorIs(t, err, engine.ErrTimeout, "it may run yet")
	require.NotErrorIs(t, err, engine.ErrCrashed)
	short, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	_, err = m.State(short)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.NotErrorIs(t, err, engine.ErrCrashed, "a caller that gives up is no death")
	e.SetFault(model.Fault{})
}

// Story: a request crashes each engine that runs it. Whoever sent it must see
// a death while running, never "not taken"; once the engine refuses
// connections, a new order is truly not taken; then it is back, empty, as
// another incarnation.
func TestACrashIsADeathAndThenARefusal(t *testing.T) {
	for _, marker := range []string{model.CrashInPrefill, model.CrashInDecode} {
		t.Run(marker, func(t *testing.T) {
			e := &model.Engine{Settings: fast}
			e.DownTime = time.Hour // until it is started again below
			s := serveHTTP(t, e)
			e.OnCrash = s.Crash
			m := &engine.HTTPModel{Base: s.Addr()}
			before := e.CurrentState().Incarnation
			tokens := 0
			kv, err := m.Prefill(t.Context(), prefill(marker))
			if err == nil {
				err = m.Decode(t.Context(), decode(kv), func(engine.Token) error { tokens++; return nil })
			}
			require.ErrorIs(t, err, engine.ErrCrashed)
			require.LessOrEqual(t, tokens, 2)
			_, err = m.Prefill(t.Context(), prefill("innocent"))
			require.ErrorIs(t, err, engine.ErrNotStarted)

			_, err = s.Start(t.Context(), s.Addr())
			require.NoError(t, err)
			state, err := m.State(t.Context())
			require.NoError(t, err)
			require.Greater(t, state.Incarnation, before)
			require.Zero(t, state.UsedTokens)
			runs := e.Runs()
			require.Equal(t, model.Crashed, runs[len(runs)-1].Outcome, "a crash does not lose what ran")
		})
	}
}

// Story: an engine's process ends in good order in mid-answer, so that the
// body has a proper end. The summary must not look whole.
func TestAStreamWithoutItsLastTokenIsADeath(t *testing.T) {
	for name, body := range map[string]string{
		"ends":      `{"offset":0,"text":"a"}` + "\n",
		"empty":     "",
		"cut token": `{"offset":0,"text":"a"}` + "\n" + `{"offset":1,"te`,
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
			defer s.Close()
			m := &engine.HTTPModel{Base: netip.MustParseAddrPort(s.Listener.Addr().String())}
			err := m.Decode(t.Context(), decode(engine.KV{Tokens: 1}), func(engine.Token) error { return nil })
			require.ErrorIs(t, err, engine.ErrCrashed)
		})
	}
}

func TestAppPassesACallOnce(t *testing.T) {
	a := &apps.App{DownTime: time.Hour}
	s := serveHTTP(t, a)
	a.OnCrash = s.Crash
	m := &engine.HTTPAppServer{Base: s.Addr(), ReadTimeout: 10 * time.Second}
	call := func(key, body string) (engine.Response, error) {
		return m.Do(t.Context(), engine.Call{
			Method: http.MethodPost, Path: "/enquiries?lot=17", Body: []byte(body),
			Header: http.Header{"Idempotency-Key": {key}, "Request-Id": {"entry-1.1.7"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}},
		})
	}
	answer, err := call("plain", "hello")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.Status)
	require.Contains(t, string(answer.Body), apps.Echo(http.MethodPost, "/enquiries?lot=17", []byte("hello")))
	require.Equal(t, domain.RequestID("entry-1.1.7"), a.Report().Runs[0].Request)

	a.SetFault(apps.Fault{LoseAnswers: 1})
	_, err = call("lost", "hello")
	require.ErrorIs(t, err, engine.ErrCrashed)
	require.Equal(t, 1, a.Report().Keys["lost"], "it ran, and only once")

	a.SetFault(apps.Fault{Refuse: true})
	_, err = call("refused", "hello")
	require.ErrorIs(t, err, engine.ErrNotStarted)
	require.Zero(t, a.Report().Keys["refused"])

	a.SetFault(apps.Fault{Fail: true})
	answer, err = call("failed", "hello")
	require.NoError(t, err, "a server's own 500 is an answer")
	require.Equal(t, http.StatusInternalServerError, answer.Status)

	a.SetFault(apps.Fault{Frozen: true})
	frozen := &engine.HTTPAppServer{Base: s.Addr(), ReadTimeout: silence}
	_, err = frozen.Do(t.Context(), engine.Call{Method: http.MethodGet, Path: "/cards/1"})
	require.ErrorIs(t, err, engine.ErrTimeout)

	a.SetFault(apps.Fault{})
	_, err = call("crash", apps.CrashMarker)
	require.ErrorIs(t, err, engine.ErrCrashed)
	require.Equal(t, 1, a.Report().Keys["crash"])
	_, err = call("down", "hello")
	require.ErrorIs(t, err, engine.ErrNotStarted, "nobody listens")
}
