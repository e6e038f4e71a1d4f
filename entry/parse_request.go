package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/pkg/errors"

	"jacinthworks/check"
	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/retry"
)

// Limits and defaults of a completion. Four bytes per token is the usual figure for
// English text. It is used only to estimate the cost of requests; engines count the
// tokens themselves.
const (
	bytesPerToken    = 4
	defaultMaxTokens = 256
	maxTokensLimit   = 32768
)

// completionRequest is the body of /v1/completions and /v1/chat/completions.
type completionRequest struct {
	Model     domain.Service `json:"model"`
	Prompt    string         `json:"prompt"`
	Messages  []message      `json:"messages"`
	MaxTokens int            `json:"max_tokens"`
	Stream    bool           `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// readBody reads the request body up to the configured limit.
func (e *Entry) readBody(w http.ResponseWriter, h *http.Request) ([]byte, *failure) {
	body, err := io.ReadAll(http.MaxBytesReader(w, h.Body, e.Settings.Limits.MaxBody))
	if errors.As(err, new(*http.MaxBytesError)) {
		return nil, &failure{ran: domain.NotRun, reason: domain.ReasonTooLarge, detail: "the body is over the limit"}
	}
	switch {
	case err != nil && e.stop.Stop() != nil && errors.Is(err, os.ErrDeadlineExceeded):
		return nil, stopFailure("this entry stops before the body has arrived")
	case err != nil:
		return nil, &failure{ran: domain.NotRun, reason: domain.ReasonBadInput, detail: "the body did not arrive whole"}
	}
	return body, nil
}

func readCompletion(r *request, _ *http.Request, body []byte) check.Findings {
	c, found := parseCompletion(r, body)
	if len(found) == 0 && c.Prompt == "" {
		found.Add("/prompt", "is empty")
	}
	r.prompt = c.Prompt
	r.parts = textParts(r.service, strings.Split(c.Prompt, "\n"))
	r.estimateTokens()
	return found
}

func readChat(r *request, _ *http.Request, body []byte) check.Findings {
	c, found := parseCompletion(r, body)
	if len(found) == 0 && len(c.Messages) == 0 {
		found.Add("/messages", "is empty")
	}
	var text strings.Builder
	var messages []string
	for _, m := range c.Messages {
		messages = append(messages, m.Role+": "+m.Content)
		text.WriteString(m.Role + ": " + m.Content + "\n")
	}
	r.prompt, r.chat = text.String(), true
	r.parts = textParts(r.service, messages)
	r.estimateTokens()
	return found
}

// textParts returns the parts of a prompt that other requests may share: the messages of a chat, or
// the lines of a text that are not blank, but for the last.
func textParts(service domain.Service, texts []string) []retry.Part {
	var names []string
	for _, text := range texts {
		if strings.TrimSpace(text) != "" && len(names) <= retry.MaxParts {
			names = append(names, retry.DigestPart(text))
		}
	}
	return retry.PartsOf(service, names)
}

func parseCompletion(r *request, body []byte) (completionRequest, check.Findings) {
	var c completionRequest
	var found check.Findings
	if err := json.Unmarshal(body, &c); err != nil {
		found.Add("body", "is not JSON of a completion: %v", err)
		return c, found
	}
	if c.Model == "" {
		found.Add("/model", "is empty")
	}
	if c.MaxTokens < 0 || c.MaxTokens > maxTokensLimit {
		found.Add("/max_tokens", "is not between 0 and %d: %d", maxTokensLimit, c.MaxTokens)
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultMaxTokens
	}
	r.service, r.stream, r.maxTokens = c.Model, c.Stream, c.MaxTokens
	return c, found
}

func (r *request) estimateTokens() { r.promptTokens = max(1, len(r.prompt)/bytesPerToken) }

// unforwardedHeaders are the headers of a plain call that are not forwarded to the
// upstream. Most apply to one connection only. Authorization authenticates the caller to
// the entry and is of no use to an upstream.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "Content-Length",
}

func readCall(r *request, h *http.Request, body []byte) check.Findings {
	header := h.Header.Clone()
	for _, name := range unforwardedHeaders {
		header.Del(name)
	}
	header.Set(headerID, string(r.id))
	service, path, found := cutService(h.RequestURI)
	r.service = service
	r.call = &engine.Call{Method: h.Method, Path: path, Header: header, Body: body}
	return found
}

// cutService splits the target of a plain call into the service and the target at its upstream, which
// is what follows the service, byte for byte.
func cutService(target string) (service domain.Service, rest string, found check.Findings) {
	path, query, hasQuery := strings.Cut(strings.TrimPrefix(target, servicesPrefix), "?")
	segment, rest, isCall := strings.Cut(path, "/")
	name, err := url.PathUnescape(segment)
	if err != nil || !isCall || name == "" || !strings.HasPrefix(target, servicesPrefix) {
		found.Add(target, "is no call of a service")
		return "", "", found
	}
	if hasQuery {
		rest += "?" + query
	}
	return domain.Service(name), "/" + rest, nil
}

// readUnknownPath refuses a request for a method and path that the entry does not serve.
func readUnknownPath(_ *request, h *http.Request, _ []byte) check.Findings {
	var found check.Findings
	found.Add(h.Method+" "+h.URL.Path, "is not served here")
	return found
}
