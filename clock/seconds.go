package clock

import "time"

// Longest is the longest duration that Seconds returns, 136 years. The sum of two of them
// does not overflow.
const Longest = (1 << 32) * time.Second

// Seconds converts a number of seconds to a duration. Numbers out of range become Longest
// or its negative, and NaN becomes zero: Go leaves the result of such a conversion open,
// and on some processors a very long time becomes a negative one.
func Seconds(s float64) time.Duration {
	switch {
	case s >= Longest.Seconds():
		return Longest
	case s <= -Longest.Seconds():
		return -Longest
	case s != s:
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
