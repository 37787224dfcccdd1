package deployment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/load"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// noWork is the payload of a task without work time.
const noWork = `{"work_ms":0}`

// startBench starts a deployment of servers of speed 1 and a client of it.
func startBench(b *testing.B, entries, servers int) (*Deployment, *client.Client) {
	opts := Options{Service: "bench", Entries: entries, Seed: 1}
	for range servers {
		opts.Servers = append(opts.Servers, load.Server{Slots: slotsPerServer, Speed: 1})
	}
	d, err := Start(b.Context(), opts)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(d.Close)
	c, err := client.New(client.Options{Entries: d.URLs()})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(c.Close)
	return d, c
}

func benchSpec(tasks int) *structs.JobSpec {
	spec := &structs.JobSpec{Service: "bench", Team: "team", Timeout: time.Minute}
	for range tasks {
		spec.Tasks = append(spec.Tasks, structs.TaskSpec{Kind: "k", ContentType: "application/json", Payload: []byte(noWork)})
	}
	return spec
}

// BenchmarkLatency compares the latency of a direct call of a backend server
// ("direct") with that of a single-task job through an entry and an agent
// ("through"). Calls are sequential.
func BenchmarkLatency(b *testing.B) {
	d, c := startBench(b, 1, 11)
	b.Run("direct", func(b *testing.B) {
		url := d.Backends[0].URL() + "/tasks"
		for b.Loop() {
			resp, err := http.Post(url, "application/json", strings.NewReader(noWork))
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	})
	b.Run("through", func(b *testing.B) {
		for b.Loop() {
			if _, err := c.Submit(b.Context(), benchSpec(1)); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkThroughput measures the time per task of jobs that concurrent callers
// submit back to back, with the whole system in this process.
func BenchmarkThroughput(b *testing.B) {
	for _, entries := range []int{1, 3} {
		for _, tasks := range []int{1, 50, structs.MaxTasksPerJob} {
			b.Run(fmt.Sprintf("entries=%d/tasks=%d", entries, tasks), func(b *testing.B) {
				_, c := startBench(b, entries, 11)
				submitAll(b, c, tasks)
			})
		}
	}
}

// callers is the number of concurrent callers.
const callers = 16

// submitAll submits about b.N tasks, in jobs of the given number of tasks.
func submitAll(b *testing.B, c *client.Client, tasks int) {
	spec := benchSpec(tasks)
	jobs := max(b.N/tasks, 1)
	pending := make(chan struct{}, jobs)
	for range jobs {
		pending <- struct{}{}
	}
	close(pending)
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	var wg sync.WaitGroup
	b.ResetTimer()
	for range callers {
		wg.Go(func() {
			for range pending {
				if _, err := c.Submit(ctx, spec); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(jobs*tasks)/b.Elapsed().Seconds(), "tasks/s")
}
