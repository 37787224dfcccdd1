package keyedstore_test

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/standin/keyedstore"
)

// encoded returns records with a key of one byte and no value, each with its length.
func encoded(keys string) []byte {
	var body []byte
	for _, k := range []byte(keys) {
		body = append(binary.BigEndian.AppendUint32(body, 2), 1, k)
	}
	return body
}

// appendTo appends the records to topic "t" and returns the reply.
func appendTo(t *testing.T, s *keyedstore.Store, body []byte) (status int, offset, endOffset int64) {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/chestnuthollow/log-append?topic=t", bytes.NewReader(body)))
	var reply struct{ Offset, EndOffset int64 }
	if w.Code == http.StatusOK {
		NewWithT(t).Expect(json.Unmarshal(w.Body.Bytes(), &reply)).To(Succeed())
	}
	return w.Code, reply.Offset, reply.EndOffset
}

// The reply to an append of several records named the end offset of the first of them.
func TestAppendOfSeveralRecordsReturnsTheirEndOffset(t *testing.T) {
	g := NewWithT(t)
	s := keyedstore.New()
	for i, want := range []int64{3, 6} {
		status, offset, endOffset := appendTo(t, s, encoded("abc"))
		g.Expect(status).To(Equal(http.StatusOK))
		g.Expect(offset).To(Equal(int64(3 * i)))
		g.Expect(endOffset).To(Equal(want))
	}
}

// An append with a malformed record was rejected after the records before it had been
// appended.
func TestRejectedAppendAppendsNothing(t *testing.T) {
	g := NewWithT(t)
	s := keyedstore.New()
	status, _, _ := appendTo(t, s, append(encoded("ab"), 0, 0, 0, 9, 1))
	g.Expect(status).To(Equal(http.StatusBadRequest))
	_, offset, _ := appendTo(t, s, encoded("a"))
	g.Expect(offset).To(BeZero())
}
