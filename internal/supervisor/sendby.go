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

// withTimeout returns a context for a call that began at the time. It ends after the timeout, and
// the call must not leave this process later either: the timer may stand still while the process
// does, and a call whose leadership was confirmed after it began may be sent once it goes on.
func withTimeout(ctx context.Context, began, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(WithSendBy(ctx, began+timeout), timeout)
}

// SendBy returns the time after which calls with the context must not leave this process,
// and whether there is one.
func SendBy(ctx context.Context) (time.Duration, bool) {
	by, ok := ctx.Value(sendByKey{}).(time.Duration)
	return by, ok
}
