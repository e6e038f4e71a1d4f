package model

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/engine"
)

// call sends a request to the engine's handler without a network, so that tests can use
// virtual time.
func call(t *testing.T, e *Engine, method, target string, order any) *httptest.ResponseRecorder {
	t.Helper()
	body, err := json.Marshal(order)
	require.NoError(t, err)
	w := httptest.NewRecorder()
	func() {
		defer func() {
			if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
				panic(cause)
			}
		}()
		e.ServeHTTP(w, httptest.NewRequest(method, target, bytes.NewReader(body)))
	}()
	return w
}

func prefill(t *testing.T, e *Engine, o engine.PrefillRequest) (engine.KV, time.Duration) {
	t.Helper()
	started := time.Now()
	w := call(t, e, http.MethodPost, "/prefill", o)
	require.Equal(t, http.StatusOK, w.Code, w.Body.String())
	var kv engine.KV
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &kv))
	return kv, time.Since(started)
}

func TestPrefillTimeExcludesCachedTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{Settings: Settings{PrefillRate: 1000}}
		head := strings.Repeat("h", 750)
		o := engine.PrefillRequest{Request: "1", Prompt: head + strings.Repeat("a", 250), PromptTokens: 1000, Prefix: 9}
		_, took := prefill(t, e, o)
		require.Equal(t, time.Second, took)
		o.Prompt = head + strings.Repeat("b", 250)
		_, took = prefill(t, e, o)
		require.Equal(t, 250*time.Millisecond, took, "three quarters are cached")
		e.SetFault(Fault{Slow: 4})
		o.Prefix = 0
		_, took = prefill(t, e, o)
		require.Equal(t, 4*time.Second, took)
	})
}

// If the KV cache of a prefill has been evicted, because the decode request arrives late
// or the transfer over a slow link takes too long, the engine must refuse the decode
// with status 410 and not answer without the cache.
func TestDecodeIsRefusedAfterKVCacheEviction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{Settings: Settings{LinkRate: 1000}}
		late := engine.PrefillRequest{Request: "late", Prompt: "p", PromptTokens: 10}
		kv, _ := prefill(t, e, late)
		require.Equal(t, 10, e.CurrentState().UsedTokens)
		time.Sleep(kv.TTL + time.Millisecond)
		require.Zero(t, e.CurrentState().UsedTokens, "the memory of the evicted cache is free")
		w := call(t, e, http.MethodPost, "/decode", engine.DecodeRequest{Request: "late", KV: kv, MaxTokens: 2})
		require.Equal(t, http.StatusGone, w.Code)

		kv, _ = prefill(t, e, engine.PrefillRequest{Request: "slow", Prompt: "p", PromptTokens: 1000})
		w = call(t, e, http.MethodPost, "/decode", engine.DecodeRequest{Request: "slow", KV: kv, MaxTokens: 2})
		require.Equal(t, http.StatusGone, w.Code, "the transfer takes 1 s, the cache is evicted after 0.8 s")
		require.Equal(t, OutcomeEvicted, e.Runs()[3].Outcome)
	})
}

func TestTokenGapGrowsWithBatchAndDecodeIsRefusedWithoutFreeSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{Settings: Settings{Slots: 3, TokenGap: 10 * time.Millisecond, BatchCost: 0.5, PrefillRate: 1e6, LinkRate: 1e9}}
		run := func(name domain.RequestID) <-chan time.Duration {
			kv, _ := prefill(t, e, engine.PrefillRequest{Request: name, Prompt: "p", PromptTokens: 1})
			took := make(chan time.Duration, 1)
			go func() {
				started := time.Now()
				call(t, e, http.MethodPost, "/decode", engine.DecodeRequest{Request: name, KV: kv, MaxTokens: 100})
				took <- time.Since(started)
			}()
			return took
		}
		require.InDelta(t, time.Second, <-run("alone"), 1e6)
		first, second, third := run("a"), run("b"), run("c")
		synctest.Wait()
		kv, _ := prefill(t, e, engine.PrefillRequest{Request: "d", Prompt: "p", PromptTokens: 1})
		w := call(t, e, http.MethodPost, "/decode", engine.DecodeRequest{Request: "d", KV: kv, MaxTokens: 1})
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Contains(t, w.Body.String(), engine.CodeNotStarted)
		for _, took := range []<-chan time.Duration{first, second, third} {
			require.InDelta(t, 2*time.Second, <-took, 20e6, "the gap of three concurrent decodes is twice that of one")
		}
	})
}

// An engine does not notice that a caller has disconnected during an answer: it decodes to
// the last token and keeps the memory. The side must cancel the decode, and must check
// that the cancel took effect.
func TestDecodeKeepsMemoryAfterDisconnectUntilCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{Settings: Settings{TokenGap: 10 * time.Millisecond, MemoryTokens: 500}}
		kv, _ := prefill(t, e, engine.PrefillRequest{Request: "1", Prompt: "p", PromptTokens: 100})
		body, err := json.Marshal(engine.DecodeRequest{Request: "1", KV: kv, MaxTokens: 200})
		require.NoError(t, err)
		ctx, disconnect := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			defer func() { _ = recover() }() // a cancelled decode drops its connection
			r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/decode", bytes.NewReader(body))
			e.ServeHTTP(httptest.NewRecorder(), r)
		}()
		time.Sleep(100 * time.Millisecond)
		disconnect()
		time.Sleep(time.Second)
		require.Equal(t, 300, e.CurrentState().UsedTokens, "100 imported tokens and 200 output tokens; the prefill's cache is evicted")
		w := call(t, e, http.MethodPost, "/prefill", engine.PrefillRequest{Request: "2", Prompt: "p", PromptTokens: 201})
		require.Equal(t, http.StatusServiceUnavailable, w.Code, "the memory is full")

		e.SetFault(Fault{DropCancels: 1})
		require.Equal(t, http.StatusOK, call(t, e, http.MethodPost, "/cancel", engine.CancelRequest{Request: "1"}).Code)
		require.Equal(t, 300, e.CurrentState().UsedTokens, "the first cancel is answered but ignored")
		require.Equal(t, http.StatusOK, call(t, e, http.MethodPost, "/cancel", engine.CancelRequest{Request: "1"}).Code)
		require.Zero(t, e.CurrentState().UsedTokens)
		<-ended
		run := e.Runs()[1]
		require.Equal(t, OutcomeCancelled, run.Outcome)
		require.Less(t, run.Tokens, 200)
	})
}

func TestPrefillsRunOneAtATimeByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{Settings: Settings{PrefillRate: 100}}
		done := make(chan domain.RequestID, 3)
		for _, o := range []engine.PrefillRequest{
			{Request: "first", Priority: 1}, {Request: "low", Priority: 1}, {Request: "high", Priority: 9},
		} {
			o.Prompt, o.PromptTokens = "p", 100
			go func() {
				call(t, e, http.MethodPost, "/prefill", o)
				done <- o.Request
			}()
			synctest.Wait()
		}
		require.Equal(t, []domain.RequestID{"first", "high", "low"}, []domain.RequestID{<-done, <-done, <-done})
	})
}

func TestReportsAndCacheEventsAreDelayedAndEventsHaveGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{Settings: Settings{EventGap: 2, PrefillRate: 1e6}}
		var state engine.State
		report := func() engine.State {
			require.NoError(t, json.Unmarshal(call(t, e, http.MethodGet, "/state", nil).Body.Bytes(), &state))
			return state
		}
		require.Zero(t, report().UsedTokens)
		time.Sleep(time.Second)
		for i := range uint64(4) {
			prefill(t, e, engine.PrefillRequest{Request: "1", Prompt: "p", PromptTokens: 10, Prefix: i + 1})
		}
		require.Zero(t, report().UsedTokens, "the report is delayed")
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, 40, report().UsedTokens)

		events := func() (seqs []uint64) {
			var list []engine.CacheEvent
			require.NoError(t, json.Unmarshal(call(t, e, http.MethodGet, "/events?after=0", nil).Body.Bytes(), &list))
			for _, c := range list {
				seqs = append(seqs, c.Seq)
			}
			return seqs
		}
		require.Empty(t, events(), "events are delayed")
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, []uint64{1, 3}, events(), "every second event is lost")
	})
}

func TestOrderWithOldFenceIsExecutedOnlyIfFencingIsIgnored(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		e := &Engine{Settings: Settings{IgnoresFencing: ignores}}
		require.Equal(t, !ignores, e.CurrentState().HonoursFencing)
		call(t, e, http.MethodPost, "/order", engine.Order{Kind: engine.OrderLoad, Value: "new", Fence: 5})
		call(t, e, http.MethodPost, "/order", engine.Order{Kind: engine.OrderLoad, Value: "old", Fence: 4})
		want := domain.Service("new")
		if ignores {
			want = "old"
		}
		require.Equal(t, want, e.CurrentState().Model)
		require.Len(t, e.Orders(), 2, "executed and refused orders are recorded")
		require.Equal(t, ignores, e.Orders()[1].Executed)
	}
}

func TestCompletionDependsOnPromptAndOffset(t *testing.T) {
	require.Equal(t, Completion("a", 4), Completion("a", 4))
	require.NotEqual(t, Completion("a", 4), Completion("b", 4))
	require.NotEqual(t, TokenAt(1, 0), TokenAt(1, 1))
}
