package direct

import (
	"jacinthworks/paths"
	"jacinthworks/work"
)

// identify finds the account whose key the caller shows. From here on neither the
// key nor what the caller said of its account is in the request.
func (s *Server) identify(r *request, c *paths.Config) *failure {
	if !c.NeedsKey() {
		return nil
	}
	key := s.Protocol.Key(r.header)
	r.client = c.Account(key)
	switch {
	case r.client != nil:
		r.account = r.client.Name
	case !r.route.Open:
		return &failure{ran: work.NotRun, reason: work.ReasonNoToken, detail: "no account holds the key"}
	}
	return nil
}

// holder names the account to upstreams; "" where callers have none.
func (r *request) holder() work.Account {
	if r.client == nil {
		return ""
	}
	return r.client.Name
}

// priority is the request's rank, 0 first: its account's, or else its route's.
func (r *request) priority() int {
	if r.client != nil && r.client.HasPriority {
		return r.client.Priority
	}
	return r.route.Priority
}
