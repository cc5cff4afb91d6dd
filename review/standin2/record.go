package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

var began = time.Now()

// stamp returns the time since the start of the case in seconds.
func stamp() string { return fmt.Sprintf("%8.3f", time.Since(began).Seconds()) }

// record is the record of a case: what was sent, answered and run.
type record struct {
	mu  sync.Mutex
	f   *os.File
	out *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, out: bufio.NewWriter(f)}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%s %s\n", stamp(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.f.Close()
}
