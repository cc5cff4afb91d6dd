package eject

import "time"

const (
	// retryShare is the number of second attempts for each first one, and minRetries
	// the number of them per second that is always allowed. When everything fails, the
	// databases get a fifth more load at most.
	retryShare = 0.2
	minRetries = 3
	// maxTokens bounds the second attempts that can be saved up.
	maxTokens = 10
)

// Budget bounds the second attempts of statements. The zero value allows minRetries at
// first. It is not safe for concurrent use.
type Budget struct {
	tokens float64
	lastAt time.Time
}

// First counts a first attempt.
func (b *Budget) First(now time.Time) {
	b.advance(now)
	b.tokens = min(maxTokens, b.tokens+retryShare)
}

// Retry takes a second attempt out of the budget. It reports false if there is none left.
func (b *Budget) Retry(now time.Time) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// advance adds the attempts that are always allowed.
func (b *Budget) advance(now time.Time) {
	if b.lastAt.IsZero() {
		b.lastAt, b.tokens = now, minRetries
	}
	b.tokens = min(maxTokens, b.tokens+minRetries*max(0, now.Sub(b.lastAt).Seconds()))
	b.lastAt = now
}
