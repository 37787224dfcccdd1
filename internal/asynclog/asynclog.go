// Package asynclog provides a log writer that never blocks its callers: lines
// are buffered up to a limit and written in the background; lines that arrive
// while the buffer is full are dropped and counted.
package asynclog

import (
	"fmt"
	"io"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// bufferBytes limits the buffered lines: about two seconds of output of a
	// busy process.
	bufferBytes = 256 << 10
	// flushInterval is the maximum time that a line is buffered before it is
	// written; writing in batches reduces wake-ups.
	flushInterval = 50 * time.Millisecond
)

// Writer is an io.Writer that expects one whole log line per Write. It is safe
// for concurrent use.
type Writer struct {
	out     io.Writer
	wake    chan struct{}
	quit    chan struct{}
	done    chan struct{}
	dropped atomic.Int64

	mu         sync.Mutex
	buf        []byte
	unreported int64 // lines dropped since the last log_lines_dropped event
}

// New returns a Writer that writes to out in the background until Close. The process
// ignores SIGPIPE from then on: a write to standard output whose reader has gone would end
// it otherwise.
func New(out io.Writer) *Writer {
	signal.Ignore(syscall.SIGPIPE)
	w := &Writer{out: out, wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line, or drops it if the buffer is full. It never waits for
// the output and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buf)+len(line) > bufferBytes {
		w.unreported++
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

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the buffered lines and stops the background writer. It must be
// called only once.
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
	buf, unreported := w.buf, w.unreported
	w.buf, w.unreported = nil, 0
	w.mu.Unlock()
	if len(buf) > 0 {
		w.out.Write(buf) // a failed write of log lines must not stop the process
	}
	if unreported > 0 {
		fmt.Fprintf(w.out, "event=log_lines_dropped count=%d\n", unreported)
	}
}
