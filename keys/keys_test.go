package keys_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pollendoor/pollendoor/keys"
)

func ExampleRing() {
	var r keys.Ring
	secret, _ := r.Create("2026", "ana", time.Unix(0, 0))
	fmt.Println(r.Matches("2026", secret), r.Matches("2026", "guess"))
	r.Withdraw("2026", time.Unix(9, 0))
	fmt.Println(r.Matches("2026", secret))
	// Output:
	// true false
	// false
}

func TestReliable(t *testing.T) {
	now := time.Unix(1000, 0)
	old := now.Add(-20 * time.Second)
	same := keys.Zone{Heard: true, Same: true}
	tests := []struct {
		name  string
		asOf  time.Time
		zones []keys.Zone
		want  bool
	}{
		{"recent", now.Add(-9 * time.Second), nil, true},
		{"never up to date", time.Time{}, []keys.Zone{same}, false},
		{"old, no other zone", old, nil, false},
		{"old, store unreachable from all zones", old, []keys.Zone{same, same}, true},
		{"another zone has different keys", old, []keys.Zone{same, {Heard: true}}, false},
		{"another zone does not answer", old, []keys.Zone{same, {}}, false},
		{"write with unknown outcome", old, []keys.Zone{same, {Heard: true, Same: true, Pending: true}}, false},
	}
	for _, tc := range tests {
		if got := keys.Reliable(tc.asOf, 10*time.Second, tc.zones, now); got != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}
