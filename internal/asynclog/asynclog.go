// Package asynclog writes log lines without ever blocking their author: lines
// wait in a bounded buffer, and those that find it full are dropped and counted.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes bounds the lines that wait: about two seconds of a busy
	// process.
	bufferBytes = 256 << 10
	// flushInterval is the longest a line waits; batches save wake-ups.
	flushInterval = 50 * time.Millisecond
)

// Writer is an io.Writer of whole lines.
type Writer struct {
	out     io.Writer
	wake    chan struct{}
	quit    chan struct{}
	done    chan struct{}
	dropped atomic.Int64

	mu      sync.Mutex
	buf     []byte
	missing int64 // dropped since the last line that said so
}

// New returns a Writer to out. Close flushes it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes in one line; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buf)+len(line) > bufferBytes {
		w.missing++
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buf = append(w.buf, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits and ends the writer.
func (w *Writer) Close() {
	close(w.quit)
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case <-w.wake:
		case <-w.quit:
			w.flush()
			return
		}
		time.Sleep(flushInterval)
		w.flush()
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	buf, missing := w.buf, w.missing
	w.buf, w.missing = nil, 0
	w.mu.Unlock()
	if len(buf) > 0 {
		w.out.Write(buf) // a reader that has gone is no reason to stop
	}
	if missing > 0 {
		fmt.Fprintf(w.out, "event=log_lines_dropped count=%d\n", missing)
	}
}
