package platform_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// probedJob takes so long that its caller is probed several times.
	probedJob = `{"spec":"3000,300,ok","bestEffort":true,"steps":[{"replicas":1,"cpu":300,"memMb":16,"estimateMs":3000}]}`
	// completedJob is the body of the response to it.
	completedJob = `{"state":"completed"}`
	// quietTime is how long a connection is read for bytes that belong to no response.
	quietTime = 300 * time.Millisecond
)

// Guards against responses that clients cannot read because the callers were probed, and against
// probes that are left over for the next request on the same connection.
func TestClientsReadResponsesOfProbedCallers(t *testing.T) {
	s := newSystem(t, 1, 2)
	addr := s.entries[0].jobsAddr
	NewWithT(t).Expect(s.post(t.Context(), s.entries[0], "00e0", 1, 10, 300, "ok").code).To(Equal(http.StatusOK))
	t.Run("clients", func(t *testing.T) {
		t.Run("Go", func(t *testing.T) {
			t.Parallel()
			readWithGo(t, addr)
		})
		t.Run("byte by byte", func(t *testing.T) {
			t.Parallel()
			readByteByByte(t, addr)
		})
		t.Run("Python", func(t *testing.T) {
			t.Parallel()
			readWithPython(t, addr)
		})
	})
}

func readWithGo(t *testing.T, addr string) {
	g := NewWithT(t)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := range 2 {
		interim := 0
		ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) { g.Expect(info.Reused).To(Equal(n > 0)) },
			Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
				if interim++; code != http.StatusContinue || len(header) > 0 {
					return fmt.Errorf("interim response %d with fields %v", code, header)
				}
				return nil
			},
		})
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/holds/00f1%d", addr, n), strings.NewReader(probedJob))
		g.Expect(err).NotTo(HaveOccurred())
		req.Host = "a.example"
		req.Header.Set("Deadline-Ms", "20000")
		resp, err := client.Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		g.Expect(strings.TrimSpace(string(body))).To(Equal(completedJob))
		g.Expect(interim).To(BeNumerically(">", 0), "the caller was not probed")
	}
}

// readByteByByte reads each byte by itself, and takes nothing but complete interim responses of status
// 100 and one final response.
func readByteByByte(t *testing.T, addr string) {
	g := NewWithT(t)
	conn, err := net.Dial("tcp", addr)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	readByte := func() byte {
		b := make([]byte, 1)
		_, err := io.ReadFull(conn, b)
		g.Expect(err).NotTo(HaveOccurred())
		return b[0]
	}
	readLine := func() string {
		var line []byte
		for len(line) < 2 || string(line[len(line)-2:]) != "\r\n" {
			line = append(line, readByte())
		}
		line = line[:len(line)-2]
		g.Expect(string(line)).NotTo(ContainSubstring("\n"))
		return string(line)
	}
	statusLine := regexp.MustCompile(`^HTTP/1\.1 ([1-9][0-9]{2}) [ -~]+$`)
	field := regexp.MustCompile(`^([!#$%&'*+.^_|~0-9A-Za-z-]+): ([ -~]*)$`)
	readHead := func() (code int, header map[string]string) {
		line := readLine()
		m := statusLine.FindStringSubmatch(line)
		g.Expect(m).NotTo(BeNil(), "status line %q", line)
		code, _ = strconv.Atoi(m[1])
		header = make(map[string]string)
		for line := readLine(); line != ""; line = readLine() {
			m := field.FindStringSubmatch(line)
			g.Expect(m).NotTo(BeNil(), "field %q", line)
			header[strings.ToLower(m[1])] = m[2]
		}
		return code, header
	}
	for n := range 2 {
		g.Expect(conn.SetDeadline(time.Now().Add(enoughForRepeats))).To(Succeed())
		_, err = fmt.Fprintf(conn, "POST /holds/00f2%d HTTP/1.1\r\nHost: a.example\r\nDeadline-Ms: 20000\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", n, len(probedJob), probedJob)
		g.Expect(err).NotTo(HaveOccurred())
		interim := 0
		code, header := readHead()
		for ; code < 200; code, header = readHead() {
			g.Expect(code).To(Equal(http.StatusContinue))
			g.Expect(header).To(BeEmpty())
			interim++
		}
		g.Expect(interim).To(BeNumerically(">", 0), "the caller was not probed")
		g.Expect(code).To(Equal(http.StatusOK))
		length, err := strconv.Atoi(header["content-length"])
		g.Expect(err).NotTo(HaveOccurred())
		body := make([]byte, length)
		for i := range body {
			body[i] = readByte()
		}
		g.Expect(strings.TrimSpace(string(body))).To(Equal(completedJob))
		g.Expect(conn.SetReadDeadline(time.Now().Add(quietTime))).To(Succeed())
		_, err = conn.Read(make([]byte, 1))
		g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue(), "bytes behind the response, or %v", err)
	}
}

const pythonClient = `
import http.client, sys
conn = http.client.HTTPConnection(sys.argv[1], timeout=10)
for n in range(2):
    conn.request("POST", "/holds/00f3%d" % n, sys.argv[2], {"Host": "a.example", "Deadline-Ms": "20000", "Content-Type": "application/json"})
    first = conn.sock
    resp = conn.getresponse()
    print(resp.status, resp.read().decode().strip(), conn.sock is first)
`

func readWithPython(t *testing.T, addr string) {
	g := NewWithT(t)
	python, err := exec.LookPath("python3")
	if err != nil {
		t.Skip("python3 is not installed")
	}
	out, err := exec.CommandContext(t.Context(), python, "-c", pythonClient, addr, probedJob).CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), "%s", out)
	line := "200 " + completedJob + " True\n"
	g.Expect(string(out)).To(Equal(line + line))
}
