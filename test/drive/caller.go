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

// Names of the deployment that the measuring programs start.
const (
	App        = "marketplace-app"
	Model      = "appraiser-lm"
	PlainKind  = "card"
	KeyedKind  = "enquiry"
	StreamKind = "appraisal"
)

// mostIdle keeps every worker's connection, so that dials are not measured.
const mostIdle = 4096

// Caller makes requests to one entry. The zero value with Base set is ready
// to use.
type Caller struct {
	// Base is the address, as http://IP:port.
	Base  string
	Token string
	// Path is the path of plain calls; empty asks the entry for App's.
	Path string

	once   sync.Once
	client http.Client
}

func (c *Caller) open() *http.Client {
	c.once.Do(func() {
		c.client.Transport = &http.Transport{MaxIdleConns: mostIdle, MaxIdleConnsPerHost: mostIdle}
	})
	return &c.client
}

// Plain makes one plain call and reads its whole answer.
func (c *Caller) Plain(ctx context.Context) error {
	path := c.Path
	if path == "" {
		path = "/services/" + App + "/card"
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Base+path, nil)
	if err != nil {
		return err
	}
	c.sign(q, PlainKind)
	return c.whole(q)
}

// Keyed makes one call that may not be repeated, under the given key.
func (c *Caller) Keyed(ctx context.Context, key string) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Base+"/services/"+App+"/enquiry", strings.NewReader(key))
	if err != nil {
		return err
	}
	c.sign(q, KeyedKind)
	q.Header.Set("Idempotency-Key", key)
	return c.whole(q)
}

func (c *Caller) whole(q *http.Request) error {
	answer, err := c.open().Do(q)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode != http.StatusOK {
		err = errors.Errorf("drive: %s: %.200s", answer.Status, text)
	}
	return err
}

// Stream asks for a streamed completion and gives the request's id and number
// of tokens to each as they come. An error from each ends the stream.
func (c *Caller) Stream(ctx context.Context, prompt string, tokens int, each func(request string, count int) error) error {
	body, err := json.Marshal(map[string]any{"model": Model, "prompt": prompt, "max_tokens": tokens, "stream": true})
	if err != nil {
		return err
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Base+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	c.sign(q, StreamKind)
	answer, err := c.open().Do(q)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(answer.Body)
		return errors.Errorf("drive: %s: %.200s", answer.Status, text)
	}
	return readEvents(answer.Body, answer.Header.Get("Request-Id"), each)
}

func (c *Caller) sign(q *http.Request, kind string) {
	q.Header.Set("Authorization", "Bearer "+c.Token)
	q.Header.Set("Request-Kind", kind)
}

// event is the part of a completion's chunk that is read.
type event struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

func readEvents(body io.Reader, request string, each func(string, int) error) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		text, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if text == "[DONE]" {
			return nil
		}
		var v event
		if err := json.Unmarshal([]byte(text), &v); err != nil {
			return err
		}
		if len(v.Choices) == 0 {
			return errors.Errorf("drive: the stream broke off: %.200s", text)
		}
		if n := len(strings.Fields(v.Choices[0].Text)); n > 0 {
			if err := each(request, n); err != nil {
				return err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errors.New("drive: the stream ended early")
}
