package agent_test

import (
	"bufio"
	"context"
	"fmt"
	"net/rpc"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/agent"
	"github.com/chestnuthollow/chestnuthollow/standin/backend"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// processEnv is the environment variable that makes the test binary run an agent. Its
// value is the URLs of the balancer and the backend server, separated by a space.
const processEnv = "CHESTNUTHOLLOW_TEST_AGENT"

func TestMain(m *testing.M) {
	if urls, ok := os.LookupEnv(processEnv); ok {
		runProcess(urls)
		return
	}
	os.Exit(m.Run())
}

func runProcess(urls string) {
	balancer, backendURL, _ := strings.Cut(urls, " ")
	opts := agentOptions(balancer, backendURL)
	opts.LimitProcess()
	a, err := agent.New(opts, log.NewNopLogger())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(a.RPCAddr(), a.Incarnation())
	a.Run(context.Background())
}

// process is an agent that runs in a separate process.
type process struct {
	cmd    *exec.Cmd
	client *rpc.Client
	addr   string
	id     structs.Incarnation
}

func startProcess(b *testing.B) *process {
	b.Helper()
	g := NewWithT(b)
	opts := backend.DefaultOptions()
	server, err := backend.New(opts)
	g.Expect(err).NotTo(HaveOccurred())
	b.Cleanup(func() { server.Close() })
	entry := startEntry(b, homeID)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), processEnv+"="+entry.balancer.URL+" "+server.URL())
	out, err := cmd.StdoutPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cmd.Start()).To(Succeed())
	b.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	addr, id, _ := strings.Cut(strings.TrimSpace(line), " ")
	p := &process{cmd: cmd, addr: addr}
	p.id, err = structs.ParseIncarnation(id)
	g.Expect(err).NotTo(HaveOccurred())
	p.client, err = rpc.Dial("tcp", addr)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(entry.announcements).ShouldNot(BeEmpty())
	return p
}

// clockTicks is the number of ticks per second in which /proc reports processor time.
const clockTicks = 100

// processorTime returns the processor time that the process has used so far.
func (p *process) processorTime(b *testing.B) time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		b.Skip(err)
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicks
}

// residentMB returns the resident memory of the process in MB.
func (p *process) residentMB(b *testing.B) float64 {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		b.Skip(err)
	}
	pages, _ := strconv.Atoi(strings.Fields(string(statm))[1])
	return float64(pages*os.Getpagesize()) / (1 << 20)
}

// BenchmarkProcess measures the processor use, in percent of a core, and the resident
// memory of an agent that runs tasks of 50 ms at several rates. A rate of 20 tasks per
// second corresponds to the target of 13,000 starts per second over 650 workers.
//
//	go test -run '^$' -bench Process -benchtime 1x ./agent
func BenchmarkProcess(b *testing.B) {
	for _, rate := range []int{0, 20, 100} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			p := startProcess(b)
			for b.Loop() {
				p.measure(b, rate)
			}
		})
	}
}

// measureDuration is the duration of one measurement.
const measureDuration = 8 * time.Second

func (p *process) measure(b *testing.B, rate int) {
	seq := uint64(0)
	cpu, start := p.processorTime(b), time.Now()
	for elapsed := time.Duration(0); elapsed < measureDuration; elapsed = time.Since(start) {
		if rate == 0 {
			time.Sleep(measureDuration)
			continue
		}
		time.Sleep(time.Second / time.Duration(rate))
		seq++
		p.run(b, seq)
	}
	used := p.processorTime(b) - cpu
	b.ReportMetric(100*float64(used)/float64(time.Since(start)), "%core")
	b.ReportMetric(float64(seq)/time.Since(start).Seconds(), "tasks/s")
	b.ReportMetric(p.residentMB(b), "resident-MB")
}

// BenchmarkProcessFlood measures the resident memory of an agent under overload:
// clients send tasks of maximum size, each from a new home, and requests to settle
// unknown tasks.
//
//	go test -run '^$' -bench ProcessFlood -benchtime 1x ./agent
func BenchmarkProcessFlood(b *testing.B) {
	const clients = 16
	p := startProcess(b)
	for b.Loop() {
		var wg sync.WaitGroup
		end := time.Now().Add(measureDuration)
		for i := range clients {
			wg.Go(func() { p.flood(b, i, end) })
		}
		wg.Wait()
		b.ReportMetric(p.residentMB(b), "resident-MB")
	}
}

func (p *process) flood(b *testing.B, client int, end time.Time) {
	c, err := rpc.Dial("tcp", p.addr)
	if err != nil {
		b.Error(err)
		return
	}
	defer c.Close()
	payload := make([]byte, structs.MaxPayloadBytes)
	for n := 1; time.Now().Before(end); n++ {
		home := structs.Incarnation(client<<32 | n)
		id := structs.TaskID{Job: structs.JobID{Home: home, Seq: 1}}
		req := p.request(id)
		req.Spec.Payload = payload
		c.Go("Agent.Run", req, new(structs.RunReply), make(chan *rpc.Call, 1))
		id.Job.Seq = 2
		settle := &structs.SettleRequest{Agent: p.id, Home: home, Tasks: []structs.TaskRef{{Task: id, Attempt: 1}}}
		if err := c.Call("Agent.Settle", settle, new(structs.SettleReply)); err != nil {
			b.Error(err)
			return
		}
	}
}

// run sends a task and does not wait for its outcome.
func (p *process) run(b *testing.B, seq uint64) {
	req := p.request(taskID(seq, 0))
	req.Watermark = max(seq, 100) - 99
	p.client.Go("Agent.Run", req, new(structs.RunReply), make(chan *rpc.Call, 1))
}

func (p *process) request(id structs.TaskID) *structs.RunRequest {
	return newRunRequest(p.id, id, `{"work_ms":50}`)
}
