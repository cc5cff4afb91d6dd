package store_test

import (
	"context"
	"errors"
	"testing"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/fakes"
	"github.com/pollendoor/pollendoor/store"
)

// TestConditionalPut checks that a Put succeeds only for the expected version,
// that lists and watches show the change, and that a Put whose answer was lost
// returns an error although it took effect.
func TestConditionalPut(t *testing.T) {
	var platform fakes.Platform
	if err := platform.Start(""); err != nil {
		t.Fatal(err)
	}
	defer platform.Stop()
	ctx := context.Background()
	client := &store.Client{Base: platform.Addr(), VM: "vm1"}
	name := "escrow/held/vm1#a?b" // contains characters with a meaning in URLs
	if _, err := client.Get(ctx, name); !errors.Is(err, pollendoor.ErrNotFound) {
		t.Errorf("got error %v, want ErrNotFound", err)
	}
	version, err := client.Put(ctx, name, 0, []byte("x"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Put(ctx, name, 0, []byte("y")); !errors.Is(err, pollendoor.ErrConflict) {
		t.Errorf("got error %v for a second creation, want ErrConflict", err)
	}
	list, revision, err := client.List(ctx, "escrow/")
	if err != nil || len(list) != 1 || list[0].Name != name || list[0].Version != version {
		t.Fatalf("got objects %v and error %v, want the created object", list, err)
	}
	if _, err := client.Put(ctx, name, version, []byte("z")); err != nil {
		t.Fatal(err)
	}
	list, _, err = client.Watch(ctx, "escrow/", revision)
	if err != nil || len(list) != 1 || string(list[0].Value) != "z" {
		t.Errorf("got objects %v and error %v from the watch, want the changed object", list, err)
	}
	platform.LoseAnswers(1)
	if _, err := client.Put(ctx, name, version+1, []byte("w")); err == nil {
		t.Error("got no error for a lost answer, want one")
	}
	if object, err := client.Get(ctx, name); err != nil || string(object.Value) != "w" {
		t.Errorf("got value %q and error %v, want the value of the Put whose answer was lost", object.Value, err)
	}
}
