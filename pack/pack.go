// Package pack compresses bulk data that VMs send each other.
package pack

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge means that the decompressed data exceeds the limit of the receiver.
var ErrTooLarge = errors.New("too large when decompressed")

// writers and readers are reused, because each takes some hundred kilobytes.
var (
	writers = sync.Pool{New: func() any {
		w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
		if err != nil {
			panic("pack: " + err.Error()) // happens only for an unknown compression level
		}
		return w
	}}
	readers = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// Deflate compresses raw with the DEFLATE algorithm.
func Deflate(raw []byte) ([]byte, error) {
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return out.Bytes(), nil
}

// Inflate decompresses packed, which Deflate has compressed. It returns ErrTooLarge
// if the result would have more than maxBytes bytes.
func Inflate(packed []byte, maxBytes int) ([]byte, error) {
	r := readers.Get().(io.ReadCloser)
	defer readers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	raw, err := io.ReadAll(io.LimitReader(r, int64(maxBytes)+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(raw) > maxBytes {
		return nil, ErrTooLarge
	}
	return raw, nil
}
