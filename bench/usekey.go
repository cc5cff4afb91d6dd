package bench

import (
	"context"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/pollendoor/pollendoor/node"
)

// keyLife is how long a withdrawn key is tried.
const withdrawnKeyTimeout = 10 * time.Second

// useKey keeps an open connection busy with a key until it is refused, and
// returns its last successful use. It reports true if the key outlives its
// withdrawal by keyLife.
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
