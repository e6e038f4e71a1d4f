package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"jacinthworks/conf"
	"jacinthworks/domain"
	"jacinthworks/table"
)

// defaultMaxBody is the default of Server.MaxBody, in bytes. It is large enough for an
// edit of every cell of the largest table: a cell takes about four times its stored size
// in an edit.
const defaultMaxBody = 4 * table.MaxSize

// Server serves the operators' HTTP interface. All fields except Orderer, MaxBody and Log
// must be set.
type Server struct {
	Operators    []conf.Operator
	TableSource  TableSource
	Editor       Editor
	StatusSource StatusSource
	Traces       TraceSource
	Drainer      Drainer
	// Orderer may be nil; the server then has no path for orders.
	Orderer Orderer
	// MaxBody is the largest request body in bytes; default 4 MiB.
	MaxBody int64
	// Log gets a line for each edit, drain and order.
	Log hclog.Logger
}

// Handler returns the handler of all paths under /admin/.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET "+pathTable, s.requireOperator(s.getTable))
	m.Handle("PATCH "+pathTable, s.requireOperator(s.patchTable))
	m.Handle("GET "+pathStatus, s.requireOperator(s.status))
	m.Handle("GET "+pathRequests+"{id}", s.requireOperator(s.trace))
	m.Handle("POST "+pathDrain, s.requireOperator(s.drain))
	if s.Orderer != nil {
		m.Handle("POST "+pathOrders, s.requireOperator(s.order))
	}
	m.Handle("/admin/", s.requireOperator(func(w http.ResponseWriter, r *http.Request, _ table.Operator) {
		writeProblem(w, problem(http.StatusNotFound, "no "+r.Method+" of this path"))
	}))
	return m
}

// operatorHandler handles a request of an authenticated operator.
type operatorHandler func(w http.ResponseWriter, r *http.Request, by table.Operator)

// requireOperator returns a handler that authenticates a request by an operator's
// token and calls h, or rejects the request if it has no such token.
func (s *Server) requireOperator(h operatorHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		by, ok := s.findOperator(r.Header.Get("Authorization"))
		if !ok {
			w.Header().Set("WWW-Authenticate", `Bearer realm="jacinthworks operators"`)
			writeProblem(w, problem(http.StatusUnauthorized, "needs an operator's bearer token"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, s.maxBody())
		h(w, r, by)
	})
}

// findOperator returns the operator whose token is in the Authorization header.
//
// A comparison that ends at the first difference would reveal by its duration how
// many bytes of a guessed token are correct. Therefore hashes of equal length are
// compared in constant time, and the loop continues after a match.
func (s *Server) findOperator(header string) (table.Operator, bool) {
	scheme, token, _ := strings.Cut(header, " ")
	given := sha256.Sum256([]byte(token))
	var by table.Operator
	found := false
	for _, o := range s.Operators {
		want := sha256.Sum256([]byte(string(o.Token)))
		if subtle.ConstantTimeCompare(given[:], want[:]) == 1 && o.Token != "" {
			by, found = table.Operator{Name: o.Name, Teams: o.Teams}, true
		}
	}
	return by, found && strings.EqualFold(scheme, "Bearer")
}

func (s *Server) status(w http.ResponseWriter, r *http.Request, _ table.Operator) {
	st, err := s.StatusSource.Status(r.Context())
	if err != nil {
		writeProblem(w, problem(http.StatusServiceUnavailable, err.Error()))
		return
	}
	writeJSON(w, typeJSON, http.StatusOK, st)
}

func (s *Server) trace(w http.ResponseWriter, r *http.Request, _ table.Operator) {
	a, err := s.Traces.Trace(r.Context(), domain.RequestID(r.PathValue("id")))
	switch {
	case errors.Is(err, ErrNoTrace):
		writeProblem(w, problem(http.StatusNotFound, "no story of this request was found"))
	case err != nil:
		writeProblem(w, problem(http.StatusServiceUnavailable, err.Error()))
	default:
		writeJSON(w, typeJSON, http.StatusOK, a)
	}
}

// drainRequest is the body of POST /admin/v1/drain.
type drainRequest struct {
	Host domain.Host `json:"host"`
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request, by table.Operator) {
	var d drainRequest
	if p := readJSON(r.Body, &d); p != nil {
		writeProblem(w, p)
		return
	}
	if d.Host == "" {
		writeProblem(w, problem(http.StatusBadRequest, "host is missing"))
		return
	}
	err := s.Drainer.Drain(r.Context(), d.Host, by.Name)
	s.log().Info("drain", "operator", by.Name, "target", d.Host, "err", err)
	switch {
	case errors.Is(err, ErrUnknownHost):
		writeProblem(w, problem(http.StatusNotFound, "no host "+string(d.Host)+" is known"))
	case err != nil:
		writeProblem(w, problem(http.StatusServiceUnavailable, err.Error()))
	default:
		writeJSON(w, typeJSON, http.StatusOK, d)
	}
}

func (s *Server) maxBody() int64 {
	if s.MaxBody == 0 {
		return defaultMaxBody
	}
	return s.MaxBody
}

func (s *Server) log() hclog.Logger {
	if s.Log == nil {
		return hclog.NewNullLogger()
	}
	return s.Log
}

// readJSON decodes a body that contains one JSON value without unknown fields, and
// nothing after it.
func readJSON(body io.Reader, into any) *Problem {
	text, p := readBody(body)
	if p != nil {
		return p
	}
	d := json.NewDecoder(strings.NewReader(string(text)))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return problem(http.StatusBadRequest, "not the JSON expected: "+err.Error())
	}
	if d.More() {
		return problem(http.StatusBadRequest, "something follows the JSON value")
	}
	return nil
}

func readBody(body io.Reader) ([]byte, *Problem) {
	text, err := io.ReadAll(body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		p := problem(http.StatusRequestEntityTooLarge, "")
		p.Detail = "the body is over the limit of " + formatBytes(large.Limit)
		return nil, p
	case err != nil:
		return nil, problem(http.StatusBadRequest, "reading the body: "+err.Error())
	}
	return text, nil
}

func writeProblem(w http.ResponseWriter, p *Problem) { writeJSON(w, typeProblem, p.Status, p) }

func writeJSON(w http.ResponseWriter, mediaType string, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		http.Error(w, "admin: encoding the answer", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", mediaType)
	w.WriteHeader(status)
	_, _ = w.Write(append(text, '\n')) // the client has disconnected: the error cannot be reported
}
