// Package logs writes log lines without ever blocking those who log.
package logs

import (
	"io"
	"strconv"
	"sync/atomic"
)

// queued is how many lines wait for a slow output. Further ones are dropped and
// counted.
const queued = 512

// Writer hands lines to an output in the background.
type Writer struct {
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queued), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues one line, or drops it if the output is behind. It never blocks
// and never fails.
func (w *Writer) Write(b []byte) (int, error) {
	line := make([]byte, len(b))
	copy(line, b)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued. Lines that come later are dropped.
func (w *Writer) Close() {
	close(w.stop)
	<-w.done
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	var told int64
	var batch []byte
	for {
		stopping := false
		batch = batch[:0]
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		case <-w.stop:
			stopping = true
		}
		for more := true; more; {
			select {
			case line := <-w.lines:
				batch = append(batch, line...)
			default:
				more = false
			}
		}
		if n := w.dropped.Load(); n != told {
			batch = append(batch, `{"level":"warn","message":"log lines dropped","total":`...)
			batch = strconv.AppendInt(batch, n, 10)
			batch = append(batch, "}\n"...)
			told = n
		}
		if len(batch) > 0 {
			// Nobody can be told that the log itself can't be written.
			_, _ = out.Write(batch)
		}
		if stopping {
			return
		}
	}
}
