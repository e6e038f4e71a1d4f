package drive

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// Services and request kinds in the policy tables Table and PlainTable, which the measuring
// programs use.
const (
	AppService   = "marketplace-app"
	ModelService = "appraiser-lm"
	PlainKind    = "card"
	KeyedKind    = "enquiry"
	StreamKind   = "appraisal"
)

// maxIdleConns is high enough to keep the idle connections of all workers open, so
// that measurements do not include dials.
const maxIdleConns = 4096

// Caller sends requests to one entry. The zero value with Base set is ready to use; it
// must not be copied after its first use. It is safe for concurrent use.
type Caller struct {
	// Base is the address of the entry, as http://IP:port.
	Base string
	// Token is the caller's bearer token.
	Token string
	// Path is the path of plain calls; empty means a path of service AppService at an
	// entry.
	Path string

	once   sync.Once
	client http.Client
}

// httpClient returns the HTTP client, which the first call sets up.
func (c *Caller) httpClient() *http.Client {
	c.once.Do(func() {
		c.client.Transport = &http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns}
	})
	return &c.client
}

// Plain sends one plain call and reads the complete answer. A status other than 200 is
// an error.
func (c *Caller) Plain(ctx context.Context) error {
	path := c.Path
	if path == "" {
		path = "/services/" + AppService + "/card"
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Base+path, nil)
	if err != nil {
		return err
	}
	c.setHeaders(q, PlainKind)
	return c.do(q)
}

// Keyed sends one call that is not idempotent, with the given Idempotency-Key. A status
// other than 200 is an error.
func (c *Caller) Keyed(ctx context.Context, key string) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Base+"/services/"+AppService+"/enquiry", strings.NewReader(key))
	if err != nil {
		return err
	}
	c.setHeaders(q, KeyedKind)
	q.Header.Set("Idempotency-Key", key)
	return c.do(q)
}

// do sends a request and reads the complete answer.
func (c *Caller) do(q *http.Request) error {
	answer, err := c.httpClient().Do(q)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode != http.StatusOK {
		err = errors.Errorf("drive: request failed with status %s: %.200s", answer.Status, text)
	}
	return err
}

// Stream requests a streamed completion. For each event with text it calls onText with
// the request's id and the number of tokens in the event; an error of onText ends the
// stream and is returned.
func (c *Caller) Stream(ctx context.Context, prompt string, tokens int, onText func(request string, count int) error) error {
	body, err := json.Marshal(map[string]any{"model": ModelService, "prompt": prompt, "max_tokens": tokens, "stream": true})
	if err != nil {
		return err
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Base+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	c.setHeaders(q, StreamKind)
	answer, err := c.httpClient().Do(q)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(answer.Body)
		return errors.Errorf("drive: request failed with status %s: %.200s", answer.Status, text)
	}
	return readEvents(answer.Body, answer.Header.Get("Request-Id"), onText)
}

func (c *Caller) setHeaders(q *http.Request, kind string) {
	q.Header.Set("Authorization", "Bearer "+c.Token)
	q.Header.Set("Request-Kind", kind)
}

// chunk holds the fields of a completion event; only Text is evaluated.
type chunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// readEvents reads the events of a completion up to [DONE]. A stream that ends before
// [DONE] is an error.
func readEvents(body io.Reader, request string, onText func(string, int) error) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		text, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if text == "[DONE]" {
			return nil
		}
		var v chunk
		if err := json.Unmarshal([]byte(text), &v); err != nil {
			return err
		}
		if len(v.Choices) == 0 {
			return errors.Errorf("drive: stream ended with an error event: %.200s", text)
		}
		if n := len(strings.Fields(v.Choices[0].Text)); n > 0 {
			if err := onText(request, n); err != nil {
				return err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errors.New("drive: stream ended before [DONE]")
}
