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

// maxAnswerBytes limits the length of the answer to a plain call, which is read into
// memory whole.
const maxAnswerBytes = 16 << 20

// completionBody is the JSON body of a completion request.
type completionBody struct {
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

// refusal holds the fields of a refused request that the client evaluates.
type refusal struct {
	Reason domain.Reason `json:"reason"`
	// retryAfter is the delay from the Retry-After header; zero means that the
	// client does not retry the request.
	retryAfter time.Duration
}

// Error names the reason of the refusal.
func (r *refusal) Error() string { return "load: request refused: " + string(r.Reason) }

var errTruncated = errors.New("load: event stream ended before [DONE]")

// sendRequest sends the request of one arrival and records its outcome. It retries up to
// maxRetries times if the request is refused with a Retry-After header that the
// caller honours.
func (r *runner) sendRequest(ctx context.Context, a arrival, planned time.Time) {
	r.report.recordClientLag(planned)
	for attempts := 0; ; attempts++ {
		s := sample{class: a.class, planned: planned}
		err := r.attempt(ctx, a, attempts, &s)
		var refused *refusal
		retry := errors.As(err, &refused) && refused.retryAfter > 0 && a.honoursRetryAfter && attempts < maxRetries
		if !retry {
			r.report.recordEnd(s, err)
			return
		}
		r.report.recordRetry()
		if sleep(ctx, refused.retryAfter) != nil {
			r.report.recordEnd(s, &send.Failure{Stage: send.Canceled, Cause: ctx.Err()})
			return
		}
	}
}

// sleep waits for d, or returns the error of ctx if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// attempt sends the request of an arrival once and records its answer in s. Each retry
// goes to the next entry; earlierAttempts is the number of earlier attempts. A refusal is
// returned as *refusal.
func (r *runner) attempt(ctx context.Context, a arrival, earlierAttempts int, s *sample) error {
	q, err := r.buildRequest(a)
	if err != nil {
		return err
	}
	entry := r.entries[(a.number+earlierAttempts)%len(r.entries)]
	reply, err := entry.Do(ctx, q)
	if err != nil {
		return err
	}
	defer reply.Close()
	if reply.Status != http.StatusOK {
		return readRefusal(reply)
	}
	if a.class.MaxTokens == 0 {
		if _, err = reply.ReadAll(maxAnswerBytes); err == nil {
			s.recordToken()
		}
		return err
	}
	return readStream(reply, s)
}

// buildRequest returns the HTTP request of an arrival: a streamed completion, or
// a plain call if the class has no MaxTokens.
func (r *runner) buildRequest(a arrival) (send.Request, error) {
	header := http.Header{
		"Authorization":   {"Bearer " + r.plan.Token},
		"Request-Kind":    {string(a.class.Kind)},
		"Idempotency-Key": {a.key(r.plan.Seed)},
		"Content-Type":    {"application/json"},
	}
	w := a.class
	if w.MaxTokens == 0 {
		target := "/services/" + string(w.Service) + w.Path
		q := send.Request{Method: w.Method, Target: target, Header: header}
		if w.Method != http.MethodGet {
			q.Body = []byte(strconv.Quote(a.key(r.plan.Seed)))
		}
		return q, nil
	}
	c := completionBody{Model: w.Service, Prompt: a.prompt(r.plan.Seed), MaxTokens: w.MaxTokens, Stream: true}
	body, err := json.Marshal(c)
	return send.Request{Method: http.MethodPost, Target: "/v1/completions", Header: header, Body: body}, err
}

// readRefusal reads an answer with a status other than 200 and returns it as
// *refusal. An answer that is not a problem document comes from the plain service
// itself; its reason is "status_" and the status code.
func readRefusal(reply *send.Response) error {
	body, err := reply.ReadAll(maxAnswerBytes)
	if err != nil {
		return err
	}
	refused := &refusal{Reason: domain.Reason("status_" + strconv.Itoa(reply.Status))}
	if strings.HasPrefix(reply.Header.Get("Content-Type"), "application/problem+json") {
		if err := json.Unmarshal(body, refused); err != nil {
			return errors.Wrap(err, "load: decode a refusal")
		}
	}
	if seconds, err := strconv.Atoi(reply.Header.Get("Retry-After")); err == nil {
		refused.retryAfter = time.Duration(seconds) * time.Second
	}
	return refused
}

// readStream reads server-sent events up to [DONE] and records their tokens in s.
// A stream that ends before [DONE] is an error even if it was closed regularly.
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
			return readErrorEvent(value)
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

// readErrorEvent returns the refusal in the data of an error event.
func readErrorEvent(value string) error {
	refused := &refusal{}
	if err := json.Unmarshal([]byte(value), refused); err != nil {
		return errors.Wrap(err, "load: decode an error event")
	}
	return refused
}

// readChunk records a token for each choice with text in the data of an event.
func readChunk(value string, s *sample) error {
	var c chunk
	if err := json.Unmarshal([]byte(value), &c); err != nil {
		return errors.Wrap(err, "load: decode an event of the answer")
	}
	for _, choice := range c.Choices {
		if choice.Text != "" {
			s.recordToken()
		}
	}
	return nil
}
