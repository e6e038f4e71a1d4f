package direct

import (
	"net/http"
	"time"

	"jacinthworks/pacer"
)

// heardLimit notes what an answer says of the upstream's rate limit. An answer that says
// nothing ends a limit, unless it is a failure or a refusal: those need not be the
// upstream's own words.
func (s *Server) heardLimit(r *request, a *attempt, n Note, status int) {
	if !n.HasLimit || n.Elsewhere {
		return
	}
	if !n.Limit.Limited() && (n.Unrun || status >= http.StatusInternalServerError) {
		return
	}
	now := time.Now()
	_, age := a.upstream.Seen.Limited(now)
	before, rate := a.upstream.Seen.Limit(pacer.Statement{Rate: n.Limit, Sent: a.began, Heard: now})
	if before != rate {
		s.Log.Info("rate limit", "request", r.id, "upstream", a.start.ID, "service", r.service.Name,
			"limit", rate, "before", before, "age", age, "by", "answer")
	}
}
