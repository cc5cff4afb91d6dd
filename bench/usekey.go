package bench

import (
	"context"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/pollendoor/pollendoor/node"
)

// withdrawnKeyTimeout is the time after a withdrawal during which a key is still
// tried.
const withdrawnKeyTimeout = 10 * time.Second

// useKey runs statements on one connection with the key until one is refused,
// and returns the time of the last successful one, or zero if there was none. It
// returns true if the key still works withdrawnKeyTimeout after its withdrawal,
// whose time in Unix nanoseconds is in accepted (0 until then).
func useKey(ctx context.Context, rawURL string, a node.KeyAnswer, accepted *atomic.Int64) (time.Time, bool) {
	u, err := url.Parse(rawURL)
	if err != nil {
		return time.Time{}, false
	}
	u.User = url.UserPassword(a.User, a.Secret)
	c, err := pgx.Connect(ctx, u.String())
	if err != nil {
		return time.Time{}, false
	}
	defer c.Close(ctx)
	var last time.Time
	for {
		if _, err := c.Exec(ctx, "SELECT 1"); err != nil {
			return last, false
		}
		last = time.Now()
		if t := accepted.Load(); t > 0 && time.Since(time.Unix(0, t)) > withdrawnKeyTimeout {
			return last, true
		}
		time.Sleep(2 * time.Millisecond)
	}
}
