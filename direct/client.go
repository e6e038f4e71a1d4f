package direct

import (
	"jacinthworks/domain"
	"jacinthworks/paths"
)

// identify finds the client account of the caller's API key. It removes from the request's
// header the key and whatever the caller stated about its account.
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

// accountName is the client account that is passed to upstreams; empty if the caller has
// none.
func (r *request) accountName() domain.Account {
	if r.client == nil {
		return ""
	}
	return r.client.Name
}

// priority is the request's priority, 0 being the highest: that of its account, else that
// of its route.
func (r *request) priority() int {
	if r.client != nil && r.client.HasPriority {
		return r.client.Priority
	}
	return r.route.Priority
}
