package load_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/load"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

func workload() load.Workload {
	return load.Workload{Seed: 1, Duration: 10 * time.Second, Rate: 500, Sizes: load.DefaultJobSizes(), Times: load.DefaultWorkTimes(), DeclaredError: 10}
}

func TestGenerateIsDeterministicAtConfiguredRate(t *testing.T) {
	g := NewWithT(t)
	w := workload()
	w.Duration = 200 * time.Second
	jobs := w.Generate()
	g.Expect(w.Generate()).To(Equal(jobs))
	tasks := 0
	for _, j := range jobs {
		g.Expect(len(j.Tasks)).To(And(BeNumerically(">=", 1), BeNumerically("<=", structs.MaxTasksPerJob)))
		tasks += len(j.Tasks)
	}
	g.Expect(float64(tasks) / 200).To(BeNumerically("~", 500, 100))
}

func TestWrittenJobsAreReadBackUnchanged(t *testing.T) {
	g := NewWithT(t)
	w := workload()
	w.Burst = 4 * time.Second
	jobs := w.Generate()
	var file bytes.Buffer
	g.Expect(load.WriteJobs(&file, jobs)).To(Succeed())
	g.Expect(load.ReadJobs(&file)).To(Equal(jobs))
}

func TestIdealResponseTime(t *testing.T) {
	g := NewWithT(t)
	servers := []load.Server{{Slots: 1, Speed: 1}, {Slots: 1, Speed: 0.5}}
	task := func(d time.Duration) load.Task { return load.Task{Work: d} }
	g.Expect(load.IdealResponseTime(servers, []load.Task{task(time.Second)})).To(Equal(time.Second))
	three := []load.Task{task(time.Second), task(time.Second), task(time.Second)}
	g.Expect(load.IdealResponseTime(servers, three)).To(Equal(2*time.Second), "two tasks on the fast server, one on the slow one")
	g.Expect(load.IdealResponseTime(servers, []load.Task{task(time.Second), task(2 * time.Second)})).To(Equal(2 * time.Second))
}

// An entry stalls once. The jobs whose intended arrival is during the stall must
// report their whole waiting time. A generator that waited for earlier answers
// before sending the next job would show the stall in the first job only.
func TestResponseTimeCountsFromIntendedArrival(t *testing.T) {
	g := NewWithT(t)
	const stall = 300 * time.Millisecond
	release := make(chan struct{})
	time.AfterFunc(stall, func() { close(release) })
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/metrics" {
			_, _ = w.Write([]byte(`{"messages.sent.Run":{"count":1}}`))
			return
		}
		<-release
		_ = json.NewEncoder(w).Encode(structs.JobAnswer{ID: structs.JobID{Home: 1, Seq: 1}, State: structs.JobComplete})
	}))
	defer server.Close()
	var jobs []load.Job
	for at := time.Duration(0); at < stall; at += 10 * time.Millisecond {
		jobs = append(jobs, load.Job{At: at, Team: "a", Tasks: []load.Task{{Work: time.Millisecond}}})
	}
	rep, err := load.Run(t.Context(), load.Options{Entries: []string{server.URL}, Service: "s", Servers: []load.Server{{Slots: 8, Speed: 1}}}, jobs)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rep.Complete).To(Equal(30))
	g.Expect(rep.Response.P50).To(BeNumerically(">=", 0.1), "the stall must show in more than the first job")
}

// Guards against a panic of the load generator while no server has announced itself.
func TestIdealResponseTimeWithoutServersIsZero(t *testing.T) {
	NewWithT(t).Expect(load.IdealResponseTime(nil, []load.Task{{Work: time.Second}})).To(BeZero())
}
