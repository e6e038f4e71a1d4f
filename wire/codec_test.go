package wire

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/group"
)

// Processes of two releases exchange messages during a rolling update, so the format must stay
// that of the jsonrpc2 library.
func TestCodecInteroperatesWithVarintObjectCodec(t *testing.T) {
	params := json.RawMessage(`{"have":7,"text":"a < b \u2028"}`)
	sent := &jsonrpc2.Request{Method: MethodTable, Params: &params, ID: jsonrpc2.ID{Num: 4}}
	var ours, theirs bytes.Buffer
	require.NoError(t, new(codec).WriteObject(&ours, sent))
	require.NoError(t, jsonrpc2.VarintObjectCodec{}.WriteObject(&theirs, sent))

	var byUs, byThem jsonrpc2.Request
	require.NoError(t, new(codec).ReadObject(bufio.NewReader(&theirs), &byUs))
	require.NoError(t, jsonrpc2.VarintObjectCodec{}.ReadObject(bufio.NewReader(&ours), &byThem))
	for _, got := range []jsonrpc2.Request{byUs, byThem} {
		require.Equal(t, sent.Method, got.Method)
		require.Equal(t, sent.ID, got.ID)
		require.JSONEq(t, string(params), string(*got.Params))
	}
}

// A decoded message must not change when the next message is read into the same buffer.
func TestCodecDecodedMessagesSurviveLaterReads(t *testing.T) {
	var line bytes.Buffer
	var c codec
	for _, text := range []string{strings.Repeat("a", maxRetainedBuffer), "bbbb", "cc"} {
		params, err := json.Marshal(text)
		require.NoError(t, err)
		raw := json.RawMessage(params)
		require.NoError(t, c.WriteObject(&line, &jsonrpc2.Request{Method: "m", Params: &raw}))
	}
	from := bufio.NewReader(&line)
	var all [3]jsonrpc2.Request
	for i := range all {
		require.NoError(t, c.ReadObject(from, &all[i]))
	}
	require.Len(t, *all[0].Params, maxRetainedBuffer+2)
	require.Equal(t, `"bbbb"`, string(*all[1].Params))
	require.Equal(t, `"cc"`, string(*all[2].Params))
	require.ErrorIs(t, c.ReadObject(from, &all[0]), io.EOF)
}

// Guards against a connection that breaks within a message and against an announced length
// whose bytes never arrive: ReadObject must return an error and allocate no more memory than
// the bytes received need.
func TestCodecReturnsEOFForTruncatedMessage(t *testing.T) {
	text := binary.AppendUvarint(nil, 1<<40)
	text = append(text, `{"method":"m"`...)
	var c codec
	require.ErrorIs(t, c.ReadObject(bufio.NewReader(bytes.NewReader(text)), new(jsonrpc2.Request)), io.EOF)
	require.Less(t, c.text.Cap(), 4096)
}

// connect returns a link to a server in this process that answers calls with handle. Both ends
// share their processors with all callers, so a heartbeat can be late on a busy machine; the tests
// that use it are about the messages of calls, and a closed connection would end them.
func connect(t testing.TB, handle func(context.Context, *Peer, string, json.RawMessage) (any, error)) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	var g group.Group
	t.Cleanup(func() { cancel(); g.Wait() })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g.Go(ctx, "serve", func(ctx context.Context) error {
		return Serve(ctx, ln, &Handlers{Handle: handle, HeartbeatTimeout: time.Minute})
	})
	l := &Link{Target: netip.MustParseAddrPort(ln.Addr().String()), Local: &Handlers{HeartbeatTimeout: time.Minute}}
	g.Go(ctx, "link", l.Run)
	for l.Peer() == nil {
		runtime.Gosched()
	}
	return l
}

// Guards against a message that is read into another message's buffer: a caller's answer would
// contain part of another caller's answer.
func TestConcurrentCallsReceiveTheirOwnReplies(t *testing.T) {
	l := connect(t, func(_ context.Context, _ *Peer, _ string, params json.RawMessage) (any, error) {
		return Decode(params, func(r AttemptRef) (any, error) { return Outcome{AttemptRef: r, Detail: string(r.Request)}, nil })
	})
	const workers, each = 8, 200
	wrong := make(chan string, workers)
	for w := range workers {
		go func() { // its result is received below
			for n := range each {
				r := AttemptRef{Request: domain.RequestID(strings.Repeat(strconv.Itoa(w), 1+n*7%900)), Attempt: domain.Attempt(n)}
				var out Outcome
				if err := l.Call(t.Context(), MethodSettle, r, &out); err != nil || out.AttemptRef != r || out.Detail != string(r.Request) {
					wrong <- fmt.Sprintf("worker %d, call %d: %v %v", w, n, out.AttemptRef, err)
					return
				}
			}
			wrong <- ""
		}()
	}
	for range workers {
		require.Empty(t, <-wrong)
	}
}

// BenchmarkCall measures one round trip over loopback: a call's message to the server and its
// outcome back, both ends in this process.
func BenchmarkCall(b *testing.B) {
	answer := &engine.Response{Status: 200, Body: []byte(strings.Repeat("x", 300))}
	l := connect(b, func(_ context.Context, _ *Peer, _ string, params json.RawMessage) (any, error) {
		return Decode(params, func(r RunRequest) (any, error) { return Outcome{AttemptRef: r.AttemptRef, Answer: answer}, nil })
	})
	run := RunRequest{
		AttemptRef: AttemptRef{Request: "entry-1.4242424242424242.17", Attempt: 1, Stage: StageCall}, Account: "sales-house", Kind: "card",
		Call: &engine.Call{Method: "GET", Path: "/card", Header: map[string][]string{"Accept-Encoding": {"gzip"}, "User-Agent": {"test"}}},
	}
	var out Outcome
	b.ReportAllocs()
	for b.Loop() {
		if err := l.Call(b.Context(), MethodRun, run, &out); err != nil {
			b.Fatal(err)
		}
	}
}
