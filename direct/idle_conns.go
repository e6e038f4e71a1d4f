package direct

import (
	"time"

	"jacinthworks/roster"
	"jacinthworks/send"
)

// idleConnectionPart is the part of the connections that an upstream accepts which all
// entries together may keep idle. The rest is for requests: requests that may not be
// retried use new connections, and a busy upstream may accept fewer than it states.
const idleConnectionPart = 0.25

// idleCallsPart is the part of this entry's idle connections to an upstream that its own calls use.
const idleCallsPart = 0.25

// clientOf returns the client for requests to an upstream, or that for calls, after limiting
// the idle connections of both to this entry's share.
func (s *Server) clientOf(u *roster.Upstream, call bool) *send.Client {
	if c := s.config.Current(); c != nil {
		if v := c.Service(u.Server().Service); v != nil && v.MaxConnections > 0 {
			share := idleConnectionPart * float64(v.MaxConnections) / float64(s.members.count(time.Now()))
			u.Calls.SetMaxIdleConns(max(1, int(idleCallsPart*share)))
			u.Client.SetMaxIdleConns(max(1, int((1-idleCallsPart)*share)))
		}
	}
	if call {
		return u.Calls
	}
	return u.Client
}
