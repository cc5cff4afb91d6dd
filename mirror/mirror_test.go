package mirror_test

import (
	"testing"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/mirror"
)

func TestNeverReverts(t *testing.T) {
	var m mirror.Mirror
	object := func(v uint64) []pollendoor.Object {
		return []pollendoor.Object{{Name: "settings/", Version: v}}
	}
	m.Apply(object(3), time.Unix(10, 0))
	if got := m.Apply(object(2), time.Unix(9, 0)); len(got) != 0 {
		t.Errorf("got %d objects of an older version applied, want 0", len(got))
	}
	if got := m.Get("settings/").Version; got != 3 {
		t.Errorf("got version %d, want 3", got)
	}
	if got := m.AsOf(); !got.Equal(time.Unix(10, 0)) {
		t.Errorf("got AsOf %v, want the newest time applied", got)
	}
}
