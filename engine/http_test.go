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

var fastSettings = model.Settings{PrefillRate: 1e6, TokenGap: time.Millisecond, LinkRate: 1e7, ReportLag: -1, KVLifetime: time.Minute}

const shortTimeout = 100 * time.Millisecond

func serveHTTP(t *testing.T, h http.Handler) *serve.Server {
	t.Helper()
	server := &serve.Server{Handler: h}
	_, err := server.Start(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	t.Cleanup(server.Stop)
	return server
}

func startEngine(t *testing.T, e *model.Engine) *engine.HTTPModel {
	t.Helper()
	server := serveHTTP(t, e)
	e.OnCrash = server.Crash
	return &engine.HTTPModel{Addr: server.Addr(), PrefillTimeout: 10 * time.Second, TokenTimeout: 10 * time.Second}
}

func prefillRequest(prompt string) engine.PrefillRequest {
	return engine.PrefillRequest{Request: "entry-1.1.1", Attempt: 1, Prompt: prompt, PromptTokens: 400}
}

func decodeRequest(kv engine.KV) engine.DecodeRequest {
	return engine.DecodeRequest{Request: "entry-1.1.1", Attempt: 1, KV: kv, MaxTokens: 6}
}

func TestHTTPModelDecodeAfterPrefillReturnsCompletion(t *testing.T) {
	prefillClient := startEngine(t, &model.Engine{Settings: fastSettings})
	decodeEngine := &model.Engine{Settings: fastSettings}
	decodeClient := startEngine(t, decodeEngine)
	kv, err := prefillClient.Prefill(t.Context(), prefillRequest("pedigree"))
	require.NoError(t, err)
	require.Equal(t, prefillClient.Addr, kv.Engine)
	require.Equal(t, time.Minute, kv.TTL)
	var text strings.Builder
	nextOffset := 0
	err = decodeClient.Decode(t.Context(), decodeRequest(kv), func(token engine.Token) error {
		require.Equal(t, nextOffset, token.Offset)
		nextOffset++
		text.WriteString(token.Text)
		return nil
	})
	require.NoError(t, err)
	require.Equal(t, model.Completion("pedigree", 6), text.String())
	state, err := decodeClient.State(t.Context())
	require.NoError(t, err)
	require.Zero(t, state.UsedTokens)
	require.Equal(t, model.OutcomeDone, decodeEngine.Runs()[0].Outcome)
}

func TestHTTPModelReturnsEachErrorKind(t *testing.T) {
	fake := &model.Engine{Settings: fastSettings}
	client := startEngine(t, fake)
	discard := func(engine.Token) error { return nil }
	ctx := t.Context()

	fake.SetFault(model.Fault{Refuse: true})
	_, err := client.Prefill(ctx, prefillRequest("x"))
	require.ErrorIs(t, err, engine.ErrNotStarted, "the engine reported so")
	fake.SetFault(model.Fault{})

	err = client.Decode(ctx, decodeRequest(engine.KV{Engine: client.Addr, Handle: "none", Tokens: 400}), discard)
	require.ErrorIs(t, err, engine.ErrEvicted)

	require.NoError(t, client.SendOrder(ctx, engine.Order{Kind: engine.OrderLoad, Value: "logwriter", Fence: 2}))
	err = client.SendOrder(ctx, engine.Order{Kind: engine.OrderLoad, Value: "old", Fence: 1})
	require.ErrorIs(t, err, engine.ErrFenced)
	require.NoError(t, client.Cancel(ctx, "never-seen"))

	fake.SetFault(model.Fault{LoseAnswers: 1})
	_, err = client.Prefill(ctx, prefillRequest("x"))
	require.ErrorIs(t, err, engine.ErrCrashed)
	require.Len(t, fake.Runs(), 2, "the prefill ran, once, beside the decode that found no cache")

	errEmit := errors.New("the entry has disconnected")
	kv, err := client.Prefill(ctx, prefillRequest("x"))
	require.NoError(t, err)
	err = client.Decode(ctx, decodeRequest(kv), func(engine.Token) error { return errEmit })
	require.ErrorIs(t, err, errEmit)
	require.Eventually(t, func() bool {
		runs := fake.Runs()
		last := runs[len(runs)-1]
		return last.Outcome == model.OutcomeDone && last.Tokens == 6
	}, 10*time.Second, time.Millisecond, "an error of emit cancels nothing at the engine")

	fake.SetFault(model.Fault{Frozen: true})
	frozen := &engine.HTTPModel{Addr: client.Addr, PrefillTimeout: shortTimeout, TokenTimeout: shortTimeout}
	_, err = frozen.Prefill(ctx, prefillRequest("x"))
	require.ErrorIs(t, err, engine.ErrTimeout, "the engine may still run it")
	require.NotErrorIs(t, err, engine.ErrCrashed)
	shortCtx, cancel := context.WithTimeout(ctx, shortTimeout)
	defer cancel()
	_, err = client.State(shortCtx)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.NotErrorIs(t, err, engine.ErrCrashed, "the end of the caller's context is not a crash")
	fake.SetFault(model.Fault{})
}

// Guards against reporting a request as not started although the engine crashed
// while it ran the request. Once the engine refuses connections, a new request
// counts as not started. After its restart the engine reports a higher
// incarnation and no used memory.
func TestHTTPModelReturnsCrashedThenNotStartedWhileDown(t *testing.T) {
	for _, marker := range []string{model.CrashInPrefill, model.CrashInDecode} {
		t.Run(marker, func(t *testing.T) {
			fake := &model.Engine{Settings: fastSettings}
			fake.DownTime = time.Hour // until the test starts the engine again
			server := serveHTTP(t, fake)
			fake.OnCrash = server.Crash
			client := &engine.HTTPModel{Addr: server.Addr()}
			before := fake.CurrentState().Incarnation
			tokens := 0
			kv, err := client.Prefill(t.Context(), prefillRequest(marker))
			if err == nil {
				err = client.Decode(t.Context(), decodeRequest(kv), func(engine.Token) error { tokens++; return nil })
			}
			require.ErrorIs(t, err, engine.ErrCrashed)
			require.LessOrEqual(t, tokens, 2)
			_, err = client.Prefill(t.Context(), prefillRequest("innocent"))
			require.ErrorIs(t, err, engine.ErrNotStarted)

			_, err = server.Start(t.Context(), server.Addr())
			require.NoError(t, err)
			state, err := client.State(t.Context())
			require.NoError(t, err)
			require.Greater(t, state.Incarnation, before)
			require.Zero(t, state.UsedTokens)
			runs := fake.Runs()
			require.Equal(t, model.OutcomeCrashed, runs[len(runs)-1].Outcome, "the record of runs survives a crash")
		})
	}
}

// Guards against treating a truncated answer as complete when the engine's
// process exits cleanly in the middle of an answer, so that the body ends without
// a read error.
func TestHTTPModelDecodeWithoutLastTokenReturnsCrashed(t *testing.T) {
	for name, body := range map[string]string{
		"ends":      `{"offset":0,"text":"a"}` + "\n",
		"empty":     "",
		"cut token": `{"offset":0,"text":"a"}` + "\n" + `{"offset":1,"te`,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
			defer server.Close()
			client := &engine.HTTPModel{Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}
			err := client.Decode(t.Context(), decodeRequest(engine.KV{Tokens: 1}), func(engine.Token) error { return nil })
			require.ErrorIs(t, err, engine.ErrCrashed)
		})
	}
}

func TestHTTPAppServerSendsEachCallOnceAndClassifiesErrors(t *testing.T) {
	fake := &apps.App{DownTime: time.Hour}
	server := serveHTTP(t, fake)
	fake.OnCrash = server.Crash
	client := &engine.HTTPAppServer{Addr: server.Addr(), ReadTimeout: 10 * time.Second}
	call := func(key, body string) (engine.Response, error) {
		return client.Do(t.Context(), engine.Call{
			Method: http.MethodPost, Path: "/enquiries?lot=17", Body: []byte(body),
			Header: http.Header{"Idempotency-Key": {key}, "Request-Id": {"entry-1.1.7"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}},
		})
	}
	response, err := call("plain", "hello")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.Status)
	require.Contains(t, string(response.Body), apps.Echo(http.MethodPost, "/enquiries?lot=17", []byte("hello")))
	require.Equal(t, domain.RequestID("entry-1.1.7"), fake.Report().Runs[0].Request)

	fake.SetFault(apps.Fault{LoseAnswers: 1})
	_, err = call("lost", "hello")
	require.ErrorIs(t, err, engine.ErrCrashed)
	require.Equal(t, 1, fake.Report().Keys["lost"], "the call ran exactly once")

	fake.SetFault(apps.Fault{Refuse: true})
	_, err = call("refused", "hello")
	require.ErrorIs(t, err, engine.ErrNotStarted)
	require.Zero(t, fake.Report().Keys["refused"])

	fake.SetFault(apps.Fault{Fail: true})
	response, err = call("failed", "hello")
	require.NoError(t, err, "a 500 of the server is returned as a response")
	require.Equal(t, http.StatusInternalServerError, response.Status)

	fake.SetFault(apps.Fault{Frozen: true})
	frozen := &engine.HTTPAppServer{Addr: server.Addr(), ReadTimeout: shortTimeout}
	_, err = frozen.Do(t.Context(), engine.Call{Method: http.MethodGet, Path: "/cards/1"})
	require.ErrorIs(t, err, engine.ErrTimeout)

	fake.SetFault(apps.Fault{})
	_, err = call("crash", apps.CrashMarker)
	require.ErrorIs(t, err, engine.ErrCrashed)
	require.Equal(t, 1, fake.Report().Keys["crash"])
	_, err = call("down", "hello")
	require.ErrorIs(t, err, engine.ErrNotStarted, "the server refuses connections while it is down")
}

// Guards against an answer of an application that ends inside an event and counts as complete.
func TestHTTPAppServerReportsAnswerEndingWithinEvent(t *testing.T) {
	server := serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: a\n\ndata: b\n")
	}))
	app := &engine.HTTPAppServer{Addr: server.Addr()}
	_, err := app.Do(t.Context(), engine.Call{Method: http.MethodGet, Path: "/"})
	require.ErrorIs(t, err, engine.ErrCrashed)
}
