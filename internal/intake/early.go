package intake

import (
	"bytes"
	"cmp"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// lingerTimeout and lingerBytes bound what is read of a body after the response to it. A connection that is
	// closed with bytes that were not read is reset, and its client may lose the response.
	lingerTimeout = 2 * time.Second
	lingerBytes   = 256 << 10
)

// respondEarly makes a response that is written before the whole body has arrived leave at once. Otherwise
// net/http reads the rest of the body first.
func respondEarly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.whole = false
		if r.ContentLength == 0 {
			c.received()
		}
		early := &earlyWriter{ResponseWriter: w, conn: c}
		next.ServeHTTP(early, r)
		if !c.whole {
			early.send()
			linger(w, r)
		}
	})
}

// earlyWriter holds back a response that is written before the whole body has arrived. The handler must not
// read the body afterwards.
type earlyWriter struct {
	http.ResponseWriter
	conn *conn
	code int // zero until the header is written
	body bytes.Buffer
}

// Unwrap supports http.ResponseController.
func (w *earlyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *earlyWriter) WriteHeader(code int) {
	switch {
	case w.conn.whole || code < http.StatusOK:
		w.ResponseWriter.WriteHeader(code)
	case w.code == 0:
		w.code = code
	}
}

// Write implements http.ResponseWriter.
func (w *earlyWriter) Write(p []byte) (int, error) {
	if w.conn.whole {
		return w.ResponseWriter.Write(p)
	}
	return w.body.Write(p)
}

// send sends the response that was held back, complete with its length: the client must not have to wait for
// its end until the connection is closed.
func (w *earlyWriter) send() {
	w.Header().Set("Connection", "close") // net/http does not read the body before such a response
	w.Header().Set("Content-Length", strconv.Itoa(w.body.Len()))
	w.ResponseWriter.WriteHeader(cmp.Or(w.code, http.StatusOK))
	if _, err := w.ResponseWriter.Write(w.body.Bytes()); err != nil {
		return // the client has left
	}
}

// linger gives the client time to read the response. The connection may be closed by the client or for a new
// one meanwhile, so that errors only end the wait.
func linger(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	if rc.Flush() != nil || rc.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r.Body, lingerBytes); err != nil {
		return
	}
}
