package load

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/send"
)

// maxAnswer limits a whole answer in bytes.
const maxAnswer = 16 << 20

// completion is the body of a completion.
type completion struct {
	Model     domain.Service `json:"model"`
	Prompt    string         `json:"prompt"`
	MaxTokens int            `json:"max_tokens"`
	Stream    bool           `json:"stream"`
}

// chunk is one event of a streamed completion.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// refusal is what a caller reads of a refusal.
type refusal struct {
	Reason domain.Reason `json:"reason"`
	// retryAfter is zero where a return makes no sense.
	retryAfter time.Duration
}

// Error gives the reason.
func (r *refusal) Error() string { return "load: refused: " + string(r.Reason) }

var errTruncated = errors.New("load: the stream ended before [DONE]")

// request sends one arrival, returns if it is refused and honours Retry-After,
// and records its end.
func (r *runner) request(ctx context.Context, a arrival, planned time.Time) {
	r.report.began(planned)
	for sends := 0; ; sends++ {
		s := sample{work: a.work, planned: planned}
		err := r.exchange(ctx, a, sends, &s)
		var refused *refusal
		again := errors.As(err, &refused) && refused.retryAfter > 0 && a.honours && sends < maxReturns
		if !again {
			r.report.ended(s, err)
			return
		}
		r.report.returned()
		if pause(ctx, refused.retryAfter) != nil {
			r.report.ended(s, &send.Failure{Stage: send.Canceled, Cause: ctx.Err()})
			return
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *runner) exchange(ctx context.Context, a arrival, sends int, s *sample) error {
	q, err := r.build(a)
	if err != nil {
		return err
	}
	entry := r.entries[(a.number+sends)%len(r.entries)]
	reply, err := entry.Do(ctx, q)
	if err != nil {
		return err
	}
	defer reply.Close()
	if reply.Status != http.StatusOK {
		return readRefusal(reply)
	}
	if a.work.MaxTokens == 0 {
		if _, err = reply.ReadAll(maxAnswer); err == nil {
			s.token()
		}
		return err
	}
	return readStream(reply, s)
}

func (r *runner) build(a arrival) (send.Request, error) {
	header := http.Header{
		"Authorization":   {"Bearer " + r.plan.Token},
		"Request-Kind":    {string(a.work.Kind)},
		"Idempotency-Key": {a.key(r.plan.Seed)},
		"Content-Type":    {"application/json"},
	}
	w := a.work
	if w.MaxTokens == 0 {
		target := "/services/" + string(w.Service) + w.Path
		q := send.Request{Method: w.Method, Target: target, Header: header}
		if w.Method != http.MethodGet {
			q.Body = []byte(strconv.Quote(a.key(r.plan.Seed)))
		}
		return q, nil
	}
	c := completion{Model: w.Service, Prompt: a.prompt(r.plan.Seed), MaxTokens: w.MaxTokens, Stream: true}
	body, err := json.Marshal(c)
	return send.Request{Method: http.MethodPost, Target: "/v1/completions", Header: header, Body: body}, err
}

// readRefusal reads an answer other than 200. An answer that is no problem
// document is the plain service's own.
func readRefusal(reply *send.Response) error {
	body, err := reply.ReadAll(maxAnswer)
	if err != nil {
		return err
	}
	refused := &refusal{Reason: domain.Reason("status_" + strconv.Itoa(reply.Status))}
	if strings.HasPrefix(reply.Header.Get("Content-Type"), "application/problem+json") {
		if err := json.Unmarshal(body, refused); err != nil {
			return errors.Wrap(err, "load: reading refusal")
		}
	}
	if seconds, err := strconv.Atoi(reply.Header.Get("Retry-After")); err == nil {
		refused.retryAfter = time.Duration(seconds) * time.Second
	}
	return refused
}

// readStream reads server-sent events to [DONE]. A stream that ends before it
// is an error, however it ends.
func readStream(body io.Reader, s *sample) error {
	lines := bufio.NewScanner(body)
	event := ""
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case name == "event":
			event = value
		case name == "" && value == "":
			event = ""
		case name != "data":
		case event == "error":
			return readError(value)
		case value == "[DONE]":
			return nil
		default:
			if err := readChunk(value, s); err != nil {
				return err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errTruncated
}

func readError(value string) error {
	refused := &refusal{}
	if err := json.Unmarshal([]byte(value), refused); err != nil {
		return errors.Wrap(err, "load: reading error event")
	}
	return refused
}

func readChunk(value string, s *sample) error {
	var c chunk
	if err := json.Unmarshal([]byte(value), &c); err != nil {
		return errors.Wrap(err, "load: reading chunk")
	}
	for _, choice := range c.Choices {
		if choice.Text != "" {
			s.token()
		}
	}
	return nil
}
