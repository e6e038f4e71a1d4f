package infra

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"jacinthworks/send"
)

// HTTPHosts reads the host list over HTTP, by GET /hosts. The zero value with Addr
// set is ready to use; it must not be copied after first use.
type HTTPHosts struct {
	// Addr is the platform's address.
	Addr netip.AddrPort
	// ReadTimeout is the longest wait for a response; zero means
	// send.DefaultReadTimeout.
	ReadTimeout time.Duration
	// OnInvalid, if set, is called for each response that is malformed or exceeds a bound; see send.Client.
	OnInvalid func(error)

	once   sync.Once
	client send.Client
}

var _ Hosts = (*HTTPHosts)(nil)

// Hosts returns the current host list of the platform.
func (h *HTTPHosts) Hosts(ctx context.Context) ([]ListedHost, error) {
	h.once.Do(func() { h.client.Addr, h.client.ReadTimeout, h.client.OnInvalid = h.Addr, h.ReadTimeout, h.OnInvalid })
	var list []ListedHost
	err := read(ctx, &h.client, "/hosts", &list)
	return list, err
}
