package group

import (
	"context"
	"time"
)

// Sleep waits for d or the end of the context.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
