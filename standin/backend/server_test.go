package backend_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/standin/backend"
)

func start(t *testing.T, change func(*backend.Options)) *backend.Server {
	t.Helper()
	opts := backend.DefaultOptions()
	opts.Work = time.Millisecond
	if change != nil {
		change(&opts)
	}
	s, err := backend.New(opts)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { s.Close() })
	return s
}

// post sends a task and returns the status and body of the answer, or status 0 if
// there was no answer.
func post(s *backend.Server, id, payload string) (int, string) {
	req, _ := http.NewRequest(http.MethodPost, s.URL()+"/tasks", strings.NewReader(payload))
	req.Header.Set("Chestnuthollow-Task-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// putBehavior sets the behavior over HTTP and returns the status of the answer.
func putBehavior(t *testing.T, s *backend.Server, b backend.Behavior) int {
	t.Helper()
	body, err := json.Marshal(b)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	req, _ := http.NewRequest(http.MethodPut, s.URL()+"/behavior", bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	return resp.StatusCode
}

func TestStatusAndStartsOfEachMode(t *testing.T) {
	tests := []struct {
		mode   backend.Mode
		status int
		starts int
	}{
		{backend.ModeWork, 200, 1},
		{backend.ModeFail, 500, 1},
		{backend.ModeFailSlow, 500, 1},
		{backend.ModeDropAtStart, 0, 1},
		{backend.ModeDropAfterWork, 0, 1},
		{backend.ModeDecline, 503, 0},
		{backend.ModeRefuse, 503, 0},
	}
	for _, tt := range tests {
		t.Run(string(tt.mode), func(t *testing.T) {
			g := NewWithT(t)
			s := start(t, nil)
			g.Expect(putBehavior(t, s, backend.Behavior{Mode: tt.mode})).To(Equal(200))
			status, _ := post(s, "job/1", "x")
			g.Expect(status).To(Equal(tt.status))
			g.Expect(s.Starts()).To(HaveLen(tt.starts))
		})
	}
	NewWithT(t).Expect(putBehavior(t, start(t, nil), backend.Behavior{Mode: "dance"})).To(Equal(400))
}

func TestStallEndsWhenBehaviorIsSet(t *testing.T) {
	g := NewWithT(t)
	s := start(t, nil)
	g.Expect(s.SetBehavior(backend.Behavior{Mode: backend.ModeStall})).To(Succeed())
	answer := make(chan string, 1)
	go func() {
		_, body := post(s, "job/1", "x")
		answer <- body
	}()
	g.Eventually(s.Starts).Should(HaveLen(1))
	g.Consistently(answer, "50ms").ShouldNot(Receive())
	g.Expect(s.SetBehavior(backend.Behavior{Mode: backend.ModeWork})).To(Succeed())
	g.Eventually(answer).Should(Receive(Equal("x")))
}

func TestSlotsLimitConcurrentTasks(t *testing.T) {
	g := NewWithT(t)
	s := start(t, func(o *backend.Options) { o.Slots = 2 })
	done := make(chan int, 6)
	for range 6 {
		go func() {
			status, _ := post(s, "job/1", `{"work_ms":5}`)
			done <- status
		}()
	}
	for range 6 {
		g.Eventually(done).Should(Receive(Equal(200)))
	}
	g.Expect(s.Stats().MaxWorking).To(Equal(2))
	g.Expect(s.Stats().Starts).To(Equal(6))
}

func TestMainPrintsURLAndStopsWithContext(t *testing.T) {
	g := NewWithT(t)
	r, w := io.Pipe()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- backend.Main(ctx, []string{"-slots", "3"}, w) }()
	buf := make([]byte, 100)
	n, err := r.Read(buf)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(buf[:n])).To(HavePrefix("http://127.0.0.1:"))
	stop()
	g.Eventually(ended).Should(Receive(BeNil()))
	g.Expect(backend.Main(ctx, []string{"-slots", "0"}, io.Discard)).NotTo(Succeed())
}
