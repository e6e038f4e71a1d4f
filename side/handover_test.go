package side

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a side that stops before the new owner of a shard has its list of keys, because a
// round of that owner waits for another member: the keys would be refused as ones that may have run.
func TestStoppingSideAwaitsOwnerWhoseRoundIsSlow(t *testing.T) {
	s := &Side{}
	s.init()
	stopped := make(chan struct{})
	go func(ctx context.Context) {
		s.awaitFenceCalls(ctx)
		close(stopped)
	}(t.Context())
	select {
	case <-stopped:
		require.Fail(t, "the side stopped within a round of an owner")
	case <-time.After(claimInterval + claimTimeout):
	}
	select {
	case <-stopped:
	case <-time.After(2 * claimTimeout):
		require.Fail(t, "the side waits for longer than an owner needs")
	}
}
