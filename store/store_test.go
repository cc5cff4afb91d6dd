package store_test

import (
	"context"
	"errors"
	"testing"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/fakes"
	"github.com/pollendoor/pollendoor/store"
)

func TestConditionalPut(t *testing.T) {
	var p fakes.Platform
	if err := p.Start(""); err != nil {
		t.Fatal(err)
	}
	defer p.Stop()
	ctx := context.Background()
	c := &store.Client{Base: p.Addr(), VM: "vm1"}
	name := "escrow/held/vm1#a?b" // signs that mean something in a URL
	if _, err := c.Get(ctx, name); !errors.Is(err, pollendoor.ErrNotFound) {
		t.Errorf("got %v, want ErrNotFound", err)
	}
	v, err := c.Put(ctx, name, 0, []byte("x"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Put(ctx, name, 0, []byte("y")); !errors.Is(err, pollendoor.ErrConflict) {
		t.Errorf("got %v for a second creation, want ErrConflict", err)
	}
	list, revision, err := c.List(ctx, "escrow/")
	if err != nil || len(list) != 1 || list[0].Name != name || list[0].Version != v {
		t.Fatalf("got %v and %v, want the object", list, err)
	}
	if _, err := c.Put(ctx, name, v, []byte("z")); err != nil {
		t.Fatal(err)
	}
	list, _, err = c.Watch(ctx, "escrow/", revision)
	if err != nil || len(list) != 1 || string(list[0].Value) != "z" {
		t.Errorf("got %v and %v from the watch, want the change", list, err)
	}
	p.LoseAnswers(1)
	if _, err := c.Put(ctx, name, v+1, []byte("w")); err == nil {
		t.Error("got no error for a lost answer")
	}
	if o, err := c.Get(ctx, name); err != nil || string(o.Value) != "w" {
		t.Errorf("got %q and %v, want the effect of the lost answer", o.Value, err)
	}
}
