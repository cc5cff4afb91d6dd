package token_test

import (
	"fmt"
	"testing"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/token"
)

func ExampleToken() {
	var t token.Token
	t.Advance("potes-1", pollendoor.Position{Term: 3, Index: 120})
	t.Advance("potes-1", pollendoor.Position{Term: 3, Index: 90}) // older, ignored
	u, err := token.Parse(t.String())
	fmt.Println(u.At("potes-1"), err)
	// Output: 3/120 <nil>
}

func FuzzParse(f *testing.F) {
	f.Add("")
	f.Add("p1.gYNhYQEC")
	f.Add("p1.!")
	f.Fuzz(func(t *testing.T, text string) {
		u, err := token.Parse(text)
		if err != nil {
			return
		}
		v, err := token.Parse(u.String())
		if err != nil {
			t.Fatalf("got error %v when parsing %q again, want no error", err, u.String())
		}
		if got, want := v.String(), u.String(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	})
}
