// Package pack compresses what VMs send each other in bulk.
package pack

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge says that compressed bytes stand for more than the receiver takes.
var ErrTooLarge = errors.New("too large when decompressed")

// writers and readers are kept, since each needs some hundred kilobytes.
var (
	writers = sync.Pool{New: func() any {
		w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
		if err != nil {
			panic("pack: " + err.Error()) // only for an unknown level
		}
		return w
	}}
	readers = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// Deflate compresses raw.
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

// Inflate is the inverse of Deflate. It returns ErrTooLarge for more than most bytes.
func Inflate(packed []byte, most int) ([]byte, error) {
	r := readers.Get().(io.ReadCloser)
	defer readers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	raw, err := io.ReadAll(io.LimitReader(r, int64(most)+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(raw) > most {
		return nil, ErrTooLarge
	}
	return raw, nil
}
