package infra

import (
	"context"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"jacinthworks/domain"
	"jacinthworks/send"
)

// WeightsInfo is the response body of GET /weights/{model}.
type WeightsInfo struct {
	// BytesPerSecond is the rate limit of the store, shared by all engines that load
	// weights.
	BytesPerSecond int64 `json:"bytes_per_second"`
	// Size is the size of the model's weights in bytes.
	Size int64 `json:"size"`
}

// HTTPWeights is the client of the weight store over HTTP. The zero value with Addr
// set is ready to use; it must not be copied after first use.
type HTTPWeights struct {
	// Addr is the platform's address.
	Addr netip.AddrPort
	// ReadTimeout is the longest wait for a response; zero means
	// send.DefaultReadTimeout.
	ReadTimeout time.Duration

	once   sync.Once
	client send.Client
}

var _ WeightStore = (*HTTPWeights)(nil)

// Info returns the rate limit of the store in bytes per second, and the size of the
// model's weights in bytes.
func (h *HTTPWeights) Info(ctx context.Context, model domain.Service) (bytesPerSecond, size int64, err error) {
	h.once.Do(func() { h.client.Addr, h.client.ReadTimeout = h.Addr, h.ReadTimeout })
	var info WeightsInfo
	err = read(ctx, &h.client, "/weights/"+url.PathEscape(string(model)), &info)
	return info.BytesPerSecond, info.Size, err
}
