package direct

import (
	"jacinthworks/domain"
	"jacinthworks/paths"
)

// identify finds the account whose key the caller shows. From here on neither the
// key nor what the caller said of its account is in the request.
func (s *Server) identify(r *request, c *paths.Config) *failure {
	if !c.RequiresKey() {
		return nil
	}
	key := s.Protocol.TakeAPIKey(r.header)
	r.client = c.AccountByKey(key)
	switch {
	case r.client != nil:
		r.account = r.client.Name
	case !r.route.Open:
		return &failure{ran: domain.NotRun, reason: domain.ReasonNoToken, detail: "no account holds the key"}
	}
	return nil
}

// holder names the account to upstreams; "" where callers have none.
func (r *request) holder() domain.Account {
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
