package entry

import "context"

// keyed runs work under its idempotency key.
func (e *Entry) keyed(ctx context.Context, _ *request, run func(context.Context) *failure) *failure {
	return run(ctx)
}
