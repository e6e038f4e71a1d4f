package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
)

// completionWriter writes a completion to its caller, either as a stream of server-sent
// events or as one JSON body. A stream that fails ends with an error event and without
// [DONE], so that it can't be mistaken for a complete answer.
type completionWriter struct {
	r            *request
	w            http.ResponseWriter
	writeTimeout time.Duration
	begun        bool
	text         strings.Builder
}

func newCompletionWriter(r *request, w http.ResponseWriter, writeTimeout time.Duration) *completionWriter {
	return &completionWriter{r: r, w: w, writeTimeout: writeTimeout}
}

// choice is one alternative of a completion. A completion always has exactly one.
type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

type chunk struct {
	ID      domain.RequestID `json:"id"`
	Object  string           `json:"object"`
	Model   domain.Service   `json:"model"`
	Choices []choice         `json:"choices"`
	Usage   *usage           `json:"usage,omitempty"`
}

// setWriteDeadline sets the deadline of the next write, which bounds how long a caller
// that does not read can block it.
func setWriteDeadline(w http.ResponseWriter, timeout time.Duration) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
}

func (a *completionWriter) hasBegun() bool { return a.begun }

// add writes the tokens to a stream at once, and buffers them for an answer that is sent
// as one body.
func (a *completionWriter) add(tokens []string) error {
	text := strings.Join(tokens, "")
	if !a.r.stream {
		a.text.WriteString(text)
		return nil
	}
	return a.writeEvent(a.chunk(text, nil))
}

// discard drops the tokens buffered for a JSON body. Otherwise the tokens of an attempt
// whose engine died would precede those of the next attempt.
func (a *completionWriter) discard() { a.text.Reset() }

func (a *completionWriter) chunk(text string, finish *string) chunk {
	c := choice{FinishReason: finish}
	object := "text_completion"
	switch {
	case a.r.chat && a.r.stream:
		object, c.Delta = "chat.completion.chunk", &message{Role: "assistant", Content: text}
	case a.r.chat:
		object, c.Message = "chat.completion", &message{Role: "assistant", Content: text}
	default:
		c.Text = &text
	}
	return chunk{ID: a.r.id, Object: object, Model: a.r.service, Choices: []choice{c}}
}

func (a *completionWriter) writeEvent(v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return errors.WithStack(err)
	}
	return a.write("data: " + string(text) + "\n\n")
}

func (a *completionWriter) write(text string) error {
	if !a.begun {
		a.begun = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
	}
	setWriteDeadline(a.w, a.writeTimeout)
	if _, err := a.w.Write([]byte(text)); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(http.NewResponseController(a.w).Flush())
}

// finish writes the end of a completion, or all of it if it is not streamed. It returns a
// failure if the caller's connection broke before the completion was written.
func (a *completionWriter) finish() *failure {
	stop := "stop"
	used := &usage{PromptTokens: a.r.promptTokens, CompletionTokens: a.r.tokens}
	var err error
	if a.r.stream {
		last := a.chunk("", &stop)
		last.Usage = used
		if err = a.writeEvent(last); err == nil {
			err = a.write("data: [DONE]\n\n")
		}
	} else {
		all := a.chunk(a.text.String(), &stop)
		all.Usage = used
		a.begun = true
		setWriteDeadline(a.w, a.writeTimeout)
		a.w.Header().Set("Content-Type", "application/json")
		err = json.NewEncoder(a.w).Encode(all)
	}
	if err != nil {
		return &failure{ran: domain.DidRun, reason: domain.ReasonCallerGone, detail: err.Error()}
	}
	return nil
}

// writeError ends a stream that has begun with an error event.
func (a *completionWriter) writeError(f *domain.Refusal) {
	text, err := json.Marshal(f.Problem())
	if err == nil {
		_ = a.write("event: error\ndata: " + string(text) + "\n\n")
	}
}

// writeRefusal ends a request of which no part was answered, and writes the refusal to
// its caller.
func (e *Entry) writeRefusal(w http.ResponseWriter, r *request, f *failure) {
	refusal := e.recordRefusal(r, f)
	w.Header().Set("Content-Type", "application/problem+json")
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	if refusal.Reason == domain.ReasonNoToken {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	setWriteDeadline(w, e.Settings.Limits.WriteTimeout)
	w.WriteHeader(refusal.Reason.Status())
	_ = json.NewEncoder(w).Encode(refusal.Problem())
}
