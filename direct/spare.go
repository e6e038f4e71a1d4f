package direct

import (
	"time"

	"jacinthworks/roster"
	"jacinthworks/send"
)

// sparePart is the part of the connections that an upstream takes which all
// entries together may keep without a request. The rest is for requests: those
// that may not be repeated have new connections, and an upstream that is busy
// may take fewer than it states.
const sparePart = 0.25

// client gives the client of an upstream, which keeps no more connections than
// this entry's share.
func (s *Server) client(u *roster.Upstream) *send.Client {
	if c := s.holder.Current(); c != nil {
		if v := c.Service(u.Server().Service); v != nil && v.MaxConnections > 0 {
			share := sparePart * float64(v.MaxConnections) / float64(s.members.count(time.Now()))
			u.Client.SetMaxIdleConns(max(1, int(share)))
		}
	}
	return u.Client
}
