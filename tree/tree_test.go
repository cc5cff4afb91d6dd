package tree_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/fakes"
	"github.com/pollendoor/pollendoor/store"
	"github.com/pollendoor/pollendoor/tree"
)

func branch(p, text string, version uint64) pollendoor.Object {
	raw, _ := json.Marshal(tree.Branch{YAML: text})
	return pollendoor.Object{Name: tree.ObjectName(p), Version: version, Value: raw}
}

func ExampleTree() {
	var t *tree.Tree
	t, _ = t.With([]pollendoor.Object{
		branch("/", "rate: 50", 1),
		branch("/teams/surveyors", "burst: 20", 1),
	})
	s, _ := t.At("/teams/surveyors")
	fmt.Println(*s.Rate, *s.Burst)
	list, _ := t.Explain("/teams/surveyors")
	for _, l := range list {
		if l.Name == "rate" || l.Name == "burst" || l.Name == "weight" {
			fmt.Println(l.Name, l.Value, l.Branch)
		}
	}
	// Output:
	// 50 20
	// rate 50.0 /
	// burst 20.0 /teams/surveyors
	// weight 1.0 default
}

func TestCheckValidatesInheritingBranches(t *testing.T) {
	var tr *tree.Tree
	tr, _ = tr.With([]pollendoor.Object{branch("/teams", "burst: 5", 1), branch("/teams/a", "rate: 3", 1)})
	tests := []struct {
		path, text, want string
	}{
		{"/teams", "burst: 0", "branch /teams"},
		{"/teams/a", "rat: 3", "[1:1] unknown field"},
		{"/teams/a", "rate: 3\ntimeout: soon", "[2:"},
		{"/services/x", "ack: perhaps", "ack must be replicated or blind"},
	}
	for _, tc := range tests {
		err := tr.Check(tc.path, tc.text)
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s %q: got error %v, want an error containing %q", tc.path, tc.text, err, tc.want)
		}
	}
}

// TestOperatorsRace has two operators edit the same version of a branch while the
// store loses every other response: one edit is accepted, the other operator gets a
// conflict with both texts.
func TestOperatorsRace(t *testing.T) {
	var p fakes.Platform
	if err := p.Start(""); err != nil {
		t.Fatal(err)
	}
	defer p.Stop()
	p.LoseEveryOtherAnswer(true)
	ctx := context.Background()
	s := &store.Client{Base: p.Addr()}
	if _, err := tree.Accept(ctx, s, tree.Edit{Path: "/teams/a", YAML: "rate: 1", By: "ana"}); err != nil {
		t.Fatal(err)
	}
	o, err := tree.Accept(ctx, s, tree.Edit{Path: "/teams/a", YAML: "rate: 2", By: "ana", Based: 1})
	if err != nil || o.Version != 2 {
		t.Fatalf("got version %d and error %v, want version 2 and no error", o.Version, err)
	}
	_, err = tree.Accept(ctx, s, tree.Edit{Path: "/teams/a", YAML: "rate: 3", By: "rui", Based: 1})
	var c *tree.Conflict
	if !errors.As(err, &c) || c.Theirs != "rate: 2" || c.Yours != "rate: 3" {
		t.Errorf("got error %v, want a conflict with both texts", err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add("rate: 3")
	f.Add("timeout: [")
	f.Fuzz(func(_ *testing.T, text string) { tree.Decode([]byte(text)) })
}
