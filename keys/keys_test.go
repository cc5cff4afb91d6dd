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
		{"young", now.Add(-9 * time.Second), nil, true},
		{"never level", time.Time{}, []keys.Zone{same}, false},
		{"old and alone", old, nil, false},
		{"store dark for all", old, []keys.Zone{same, same}, true},
		{"another zone knows other keys", old, []keys.Zone{same, {Heard: true}}, false},
		{"another zone is silent", old, []keys.Zone{same, {}}, false},
		{"a write of unknown outcome", old, []keys.Zone{same, {Heard: true, Same: true, Pending: true}}, false},
	}
	for _, tc := range tests {
		if got := keys.Reliable(tc.asOf, 10*time.Second, tc.zones, now); got != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}
