package relay

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"jacinthworks/send"
)

// HeaderFleet names the fleet of a process, in calls between processes and in their responses.
//
// Addresses are used again: that of a process that has ended, or one in out-of-date seeds, may belong to a
// process of another fleet, which has the same protocol and perhaps the same name. Its configuration and
// members would be taken for those of this fleet. A process that states no fleet is believed, since earlier
// versions state none.
const HeaderFleet = "Jacinthworks-Fleet"

// ErrOtherFleet is the error of a call that a process of another fleet answered.
var ErrOtherFleet = errors.New("relay: the process at this address belongs to another fleet")

// Do sends an HTTP request to the peer and returns its response.
func (p *Peer) Do(ctx context.Context, r send.Request) (*send.Response, error) {
	if p.fleet != "" {
		if r.Header = r.Header.Clone(); r.Header == nil {
			r.Header = make(http.Header)
		}
		r.Header.Set(HeaderFleet, p.fleet)
	}
	reply, err := p.client.Do(ctx, r)
	if err != nil {
		return nil, err
	}
	if isOther(p.fleet, reply.Header) {
		reply.Close()
		return nil, errors.Wrap(ErrOtherFleet, string(p.Name))
	}
	return reply, nil
}

// CheckFleet refuses calls of processes of other fleets with status 421, and states the fleet in each
// response. onOther, if not nil, is called for each that is refused. An empty fleet is not checked.
func CheckFleet(fleet string, onOther func(r *http.Request, other string), next http.Handler) http.Handler {
	if fleet == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderFleet, fleet)
		if !isOther(fleet, r.Header) {
			next.ServeHTTP(w, r)
			return
		}
		if onOther != nil {
			onOther(r, r.Header.Get(HeaderFleet))
		}
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
}

// isOther reports whether a header states another fleet than the given one.
func isOther(fleet string, h http.Header) bool {
	stated := h.Get(HeaderFleet)
	return fleet != "" && stated != "" && stated != fleet
}
