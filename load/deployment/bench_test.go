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

const noWork = `{"work_ms":0}`

// startBench starts a deployment whose tasks take no time.
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

// BenchmarkLatency compares a direct call of the backend server with a job of
// one task through an entry and an agent, one at a time.
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

// BenchmarkThroughput is the time per task of jobs sent all the time by many
// callers, with everything in this process.
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

const callers = 16

func submitAll(b *testing.B, c *client.Client, tasks int) {
	spec := benchSpec(tasks)
	jobs := max(b.N/tasks, 1)
	todo := make(chan struct{}, jobs)
	for range jobs {
		todo <- struct{}{}
	}
	close(todo)
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	var all sync.WaitGroup
	b.ResetTimer()
	for range callers {
		all.Go(func() {
			for range todo {
				if _, err := c.Submit(ctx, spec); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	all.Wait()
	b.ReportMetric(float64(jobs*tasks)/b.Elapsed().Seconds(), "tasks/s")
}
