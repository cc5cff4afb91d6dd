package pack_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/pollendoor/pollendoor/pack"
)

func ExampleDeflate() {
	packed, err := pack.Deflate([]byte(strings.Repeat("edge-lisboa-a ", 100)))
	fmt.Println(len(packed) < 100, err)
	raw, err := pack.Inflate(packed, 1<<20)
	fmt.Println(len(raw), err)
	// Output:
	// true <nil>
	// 1400 <nil>
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOf(rapid.Byte()).Draw(t, "raw")
		packed, err := pack.Deflate(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := pack.Inflate(packed, len(want))
		if err != nil || !bytes.Equal(got, want) {
			t.Fatalf("got %q, %v, want %q", got, err, want)
		}
		if len(want) > 0 {
			if _, err := pack.Inflate(packed, len(want)-1); !errors.Is(err, pack.ErrTooLarge) {
				t.Fatalf("got %v, want %v", err, pack.ErrTooLarge)
			}
		}
	})
}

// FuzzInflate checks that a truncated or arbitrary message does not exceed the limit
// and does not affect the next valid one, although readers are reused.
func FuzzInflate(f *testing.F) {
	good, err := pack.Deflate([]byte("good"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte{})
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Fuzz(func(t *testing.T, b []byte) {
		if raw, err := pack.Inflate(b, 1<<16); err == nil && len(raw) > 1<<16 {
			t.Errorf("got %d bytes, want at most %d", len(raw), 1<<16)
		}
		if raw, err := pack.Inflate(good, 1<<16); err != nil || string(raw) != "good" {
			t.Errorf("got %q, %v after another message, want \"good\"", raw, err)
		}
	})
}
