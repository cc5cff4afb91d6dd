// Package logs writes log lines without ever blocking the code that logs.
package logs

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

// queueSize is the number of lines that can wait for a slow output. Further lines are
// dropped and counted.
const queueSize = 512

// closeTimeout is how long Close waits for a slow output. A process that stops has to
// exit within its grace period.
const closeTimeout = 100 * time.Millisecond

// Writer writes lines to an output in the background.
type Writer struct {
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a Writer to out. It must be closed with Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueSize), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues a copy of the line b, or drops it if the queue is full. It never blocks
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

// Close writes the queued lines and stops the Writer. It must be called once. Lines
// written after Close are lost, and those that the output does not take within
// closeTimeout.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// run writes the queued lines in batches until Close, and a line with the number of
// dropped lines whenever that number has changed.
func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	var reported int64
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
		if n := w.dropped.Load(); n != reported {
			batch = append(batch, `{"level":"warn","message":"log lines dropped","total":`...)
			batch = strconv.AppendInt(batch, n, 10)
			batch = append(batch, "}\n"...)
			reported = n
		}
		if len(batch) > 0 {
			// An error of the log's own output can't be logged anywhere.
			_, _ = out.Write(batch)
		}
		if stopping {
			return
		}
	}
}
