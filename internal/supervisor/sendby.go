package supervisor

import (
	"context"
	"time"
)

type sendByKey struct{}

// WithSendBy returns a context whose calls must not leave this process after the time, which
// is on a clock that goes on while the machine is suspended.
func WithSendBy(ctx context.Context, by time.Duration) context.Context {
	return context.WithValue(ctx, sendByKey{}, by)
}

// SendBy returns the time after which calls with the context must not leave this process,
// and whether there is one.
func SendBy(ctx context.Context) (time.Duration, bool) {
	by, ok := ctx.Value(sendByKey{}).(time.Duration)
	return by, ok
}
