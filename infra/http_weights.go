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

// WeightsInfo is what GET /weights/{model} answers.
type WeightsInfo struct {
	// BytesPerSecond is the store's limit, shared by all that load.
	BytesPerSecond int64 `json:"bytes_per_second"`
	// Size is that of the model's weights in bytes.
	Size int64 `json:"size"`
}

// HTTPWeights is the weight store over HTTP. The zero value with a Base is
// ready to use; it must not be copied after its first use.
type HTTPWeights struct {
	// Base is the platform's address.
	Base netip.AddrPort
	// ReadTimeout is how long an answer may take; zero is send.DefaultReadTimeout.
	ReadTimeout time.Duration

	once   sync.Once
	client send.Client
}

var _ Weights = (*HTTPWeights)(nil)

// Info gives the store's limit in bytes a second and the size of the model.
func (h *HTTPWeights) Info(ctx context.Context, model domain.Service) (bytesPerSecond, size int64, err error) {
	h.once.Do(func() { h.client.Base, h.client.ReadTimeout = h.Base, h.ReadTimeout })
	var info WeightsInfo
	err = read(ctx, &h.client, "/weights/"+url.PathEscape(string(model)), &info)
	return info.BytesPerSecond, info.Size, err
}
