package logserver_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/standin/logserver"
)

// putFaults sends body to FaultsPath and returns the status of the reply.
func putFaults(t *testing.T, srv *logserver.Server, body string) int {
	t.Helper()
	g := NewWithT(t)
	req, err := http.NewRequest(http.MethodPut, srv.URL()+logserver.FaultsPath, strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func TestSetFaultsOverHTTP(t *testing.T) {
	g := NewWithT(t)
	srv, err := logserver.Start("127.0.0.1:0", logserver.Faults{})
	g.Expect(err).NotTo(HaveOccurred())
	defer srv.Close()
	g.Expect(putFaults(t, srv, `{"down": true, "delay": "2s", "keep_records": 5}`)).To(Equal(http.StatusOK))
	g.Expect(srv.Faults().Down).To(BeTrue())
	g.Expect(srv.Faults().Delay.String()).To(Equal("2s"))
	g.Expect(putFaults(t, srv, `{"dwon": true}`)).To(Equal(http.StatusBadRequest))
	g.Expect(putFaults(t, srv, `{}`)).To(Equal(http.StatusOK), "faults can be changed while the server is down")
	g.Expect(srv.Faults()).To(Equal(logserver.Faults{}))
}
