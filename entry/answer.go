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

// answer writes a completion to its caller, streamed by server-sent events or
// whole. A stream that breaks off ends in an error event and without its
// [DONE], so that it can never look complete.
type answer struct {
	r       *request
	w       http.ResponseWriter
	within  time.Duration
	started bool
	whole   strings.Builder
}

func newAnswer(r *request, w http.ResponseWriter, within time.Duration) *answer {
	return &answer{r: r, w: w, within: within}
}

// choice is one alternative of a completion; there is always just one.
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

// deadline bounds the next write to a caller that may not be reading.
func deadline(w http.ResponseWriter, within time.Duration) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(within))
}

func (a *answer) begun() bool { return a.started }

// put passes tokens on: at once to a stream, in the end to a whole answer.
func (a *answer) put(tokens []string) error {
	text := strings.Join(tokens, "")
	if !a.r.stream {
		a.whole.WriteString(text)
		return nil
	}
	return a.event(a.chunk(text, nil))
}

// restart empties a whole answer that was not written yet. Without it the
// tokens of an attempt whose engine died stood before those of the next.
func (a *answer) restart() { a.whole.Reset() }

func (a *answer) chunk(text string, finish *string) chunk {
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

func (a *answer) event(v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return errors.WithStack(err)
	}
	return a.write("data: " + string(text) + "\n\n")
}

func (a *answer) write(text string) error {
	if !a.started {
		a.started = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
	}
	deadline(a.w, a.within)
	if _, err := a.w.Write([]byte(text)); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(http.NewResponseController(a.w).Flush())
}

// finish writes the end of a whole answer. A failure says that the caller was
// gone before it had all of it.
func (a *answer) finish() *failure {
	stop := "stop"
	used := &usage{PromptTokens: a.r.promptTokens, CompletionTokens: a.r.tokens}
	var err error
	if a.r.stream {
		last := a.chunk("", &stop)
		last.Usage = used
		if err = a.event(last); err == nil {
			err = a.write("data: [DONE]\n\n")
		}
	} else {
		all := a.chunk(a.whole.String(), &stop)
		all.Usage = used
		a.started = true
		deadline(a.w, a.within)
		a.w.Header().Set("Content-Type", "application/json")
		err = json.NewEncoder(a.w).Encode(all)
	}
	if err != nil {
		return &failure{ran: domain.DidRun, reason: domain.ReasonCallerGone, detail: err.Error()}
	}
	return nil
}

// breakOff ends a stream that has begun with an error event.
func (a *answer) breakOff(f *domain.Refusal) {
	text, err := json.Marshal(f.Problem())
	if err == nil {
		_ = a.write("event: error\ndata: " + string(text) + "\n\n")
	}
}

// refuse ends a request that was not begun to be answered.
func (e *Entry) refuse(w http.ResponseWriter, r *request, f *failure) {
	given := e.refusal(r, f)
	w.Header().Set("Content-Type", "application/problem+json")
	if given.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(given.RetryAfter.Seconds()))))
	}
	if given.Reason == domain.ReasonNoToken {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	deadline(w, e.Settings.Limits.WriteTimeout)
	w.WriteHeader(given.Reason.Status())
	_ = json.NewEncoder(w).Encode(given.Problem())
}
