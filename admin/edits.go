package admin

import (
	"crypto/rand"
	"fmt"
	"mime"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"jacinthworks/check"
	"jacinthworks/editor"
	"jacinthworks/table"
)

// NewEditID returns a new random edit id.
func NewEditID() table.EditID { return table.EditID("edit-" + strings.ToLower(rand.Text())) }

func (s *Server) getTable(w http.ResponseWriter, r *http.Request, _ table.Operator) {
	t := s.TableSource.Table()
	w.Header().Set("ETag", etag(t.Version()))
	w.Header().Set("Vary", "Accept")
	if r.Header.Get("If-None-Match") == etag(t.Version()) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	switch acceptable(r.Header.Get("Accept")) {
	case typeJSON:
		writeJSON(w, typeJSON, http.StatusOK, t)
	case typeCSV:
		text, err := t.EncodeCSV()
		if err != nil {
			writeProblem(w, problem(http.StatusInternalServerError, err.Error()))
			return
		}
		w.Header().Set("Content-Type", typeCSV+"; charset=utf-8")
		_, _ = w.Write(text) // the client has disconnected: the error cannot be reported
	default:
		writeProblem(w, problem(http.StatusNotAcceptable, "the table comes as "+typeJSON+" or "+typeCSV))
	}
}

// acceptable returns the first media type of an Accept header in which the table is
// available, or "". It ignores quality values.
func acceptable(accept string) string {
	if strings.TrimSpace(accept) == "" {
		return typeJSON
	}
	for _, part := range strings.Split(accept, ",") {
		mediaType, _, err := mime.ParseMediaType(part)
		if err != nil {
			continue
		}
		switch mediaType {
		case typeJSON, "*/*", "application/*":
			return typeJSON
		case typeCSV, "text/*":
			return typeCSV
		}
	}
	return ""
}

func (s *Server) patchTable(w http.ResponseWriter, r *http.Request, by table.Operator) {
	sub, p := readSubmission(r)
	if p != nil {
		writeProblem(w, p)
		return
	}
	sub.Operator = by
	o := s.Editor.Submit(r.Context(), sub)
	s.log().Info("table edit processed", "operator", by.Name, "edit", sub.Edit.ID, "changes", len(sub.Edit.Changes),
		"state", o.State, "reason", o.Reason, "table_version", o.Version)
	if o.Version > 0 {
		w.Header().Set("ETag", etag(o.Version))
	}
	if o.State == editor.Accepted {
		writeJSON(w, typeJSON, http.StatusOK, EditReply{EditID: sub.Edit.ID, State: o.State, Version: o.Version})
		return
	}
	if o.Reason == editor.ReasonUnavailable || o.State == editor.Unsettled {
		w.Header().Set("Retry-After", "1")
	}
	writeProblem(w, outcomeProblem(sub.Edit.ID, o))
}

// outcomeProblem returns the problem for an edit that is not accepted. An unsettled
// edit is neither a success nor a refusal: its status is 504, as after a timeout.
func outcomeProblem(id table.EditID, o editor.Outcome) *Problem {
	status := http.StatusGatewayTimeout
	if o.State == editor.Refused {
		switch o.Reason {
		case editor.ReasonFindings:
			status = http.StatusUnprocessableEntity
		case editor.ReasonForbidden:
			status = http.StatusForbidden
		case editor.ReasonStale:
			status = http.StatusPreconditionFailed
		default:
			status = http.StatusServiceUnavailable
		}
	}
	return &Problem{Title: "Edit " + string(o.State), Status: status, Detail: o.Detail, State: o.State,
		Reason: o.Reason, Version: o.Version, EditID: id, Findings: o.Findings}
}

// readSubmission reads an edit and its conditions from the headers, the query and the
// body of a request.
func readSubmission(r *http.Request) (editor.Submission, *Problem) {
	var s editor.Submission
	var p *Problem
	if s.BaseVersion, p = readIfMatch(r.Header.Values("If-Match")); p != nil {
		return s, p
	}
	switch r.URL.Query().Get("sent_before") {
	case "", "false":
	case "true":
		s.SentBefore = true
	default:
		return s, problem(http.StatusBadRequest, "sent_before must be true or false")
	}
	if s.Edit, p = readEdit(r); p != nil {
		return s, p
	}
	id := table.EditID(r.Header.Get(headerEditID))
	if id != "" && s.Edit.ID != "" && id != s.Edit.ID {
		return s, problem(http.StatusBadRequest, fmt.Sprintf("the edit's id is %q in the body and %q in %s", s.Edit.ID, id, headerEditID))
	}
	if id != "" {
		s.Edit.ID = id
	}
	if s.Edit.ID == "" {
		s.Edit.ID = NewEditID()
	}
	return s, nil
}

func readEdit(r *http.Request) (table.Edit, *Problem) {
	var e table.Edit
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	switch {
	case err == nil && mediaType == typeJSON:
		return e, readJSON(r.Body, &e)
	case err == nil && mediaType == typeCSV:
		text, p := readBody(r.Body)
		if p != nil {
			return e, p
		}
		e.Changes, err = table.DecodeChangesCSV(text)
		var rejected *table.Rejection
		if errors.As(err, &rejected) {
			return e, findingsProblem(rejected.Findings)
		}
		return e, nil
	}
	return e, problem(http.StatusUnsupportedMediaType, "an edit is "+typeJSON+" or "+typeCSV)
}

func findingsProblem(found check.Findings) *Problem {
	return &Problem{Title: "Edit refused", Status: http.StatusUnprocessableEntity, State: editor.Refused,
		Reason: editor.ReasonFindings, Findings: found}
}

// readIfMatch parses If-Match: one ETag of the table, or * for any version.
func readIfMatch(values []string) (*table.Version, *Problem) {
	if len(values) == 0 || len(values) == 1 && strings.TrimSpace(values[0]) == "*" {
		return nil, nil
	}
	text, err := strconv.Unquote(strings.TrimSpace(values[0]))
	if err != nil || len(values) > 1 {
		return nil, problem(http.StatusBadRequest, `If-Match must be * or one ETag of the table, such as "12"`)
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, problem(http.StatusBadRequest, `If-Match must be * or one ETag of the table, such as "12"`)
	}
	v := table.Version(n)
	return &v, nil
}

func formatBytes(n int64) string { return strconv.FormatInt(n, 10) + " bytes" }
