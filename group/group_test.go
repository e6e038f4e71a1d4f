package group

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestGroupReportsEveryExit(t *testing.T) {
	var g Group
	ctx, cancel := context.WithCancel(context.Background())
	fault := errors.New("fault")
	require.True(t, g.Go(ctx, "waits", func(ctx context.Context) error { <-ctx.Done(); return nil }))
	require.True(t, g.Go(ctx, "fails", func(context.Context) error { return fault }))
	cancel()

	require.Equal(t, []Exit{{Name: "fails", Err: fault}}, g.Wait())
	require.False(t, g.Go(ctx, "late", func(context.Context) error { return nil }), "a closed group starts nothing")
}

func TestWaitOnEmptyGroupReturnsNoExits(t *testing.T) {
	var g Group
	require.Empty(t, g.Wait())
}
