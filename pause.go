package pollendoor

import (
	"context"
	"time"
)

// Pause waits for d or until ctx is done, whichever comes first.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
