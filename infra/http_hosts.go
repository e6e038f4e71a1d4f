package infra

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"jacinthworks/send"
)

// HTTPHosts is the host list over HTTP: GET /hosts. The zero value with a Base
// is ready to use; it must not be copied after its first use.
type HTTPHosts struct {
	// Base is the platform's address.
	Base netip.AddrPort
	// ReadTimeout is how long an answer may take; zero is send.DefaultReadTimeout.
	ReadTimeout time.Duration

	once   sync.Once
	client send.Client
}

var _ Hosts = (*HTTPHosts)(nil)

// Hosts gives the list as the platform knows it now.
func (h *HTTPHosts) Hosts(ctx context.Context) ([]ListedHost, error) {
	h.once.Do(func() { h.client.Base, h.client.ReadTimeout = h.Base, h.ReadTimeout })
	var list []ListedHost
	err := read(ctx, &h.client, "/hosts", &list)
	return list, err
}
