package e2e_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/chestnuthollow/chestnuthollow/agent"
	"github.com/chestnuthollow/chestnuthollow/standin/logserver"
)

// Stand-ins that a child of this test binary can serve.
const (
	standinLog     = "log"
	standinBackend = "backend"
)

// work is a task's payload: what the stand-in backend server is to do.
type work struct {
	Token string `json:"token"` // no other task has it
	// Millis is how long the task takes on a server of speed 1.
	Millis int  `json:"ms"`
	Fail   bool `json:"fail,omitempty"`
}

// start is one line of the backend servers' record of starts.
type startRecord struct {
	Token  string `json:"token"`
	Task   string `json:"task"`
	Server string `json:"server"`
	At     int64  `json:"at"` // nanoseconds of the machine's clock
}

// runStandin serves until the process is killed. Its arguments are the address
// and, for a backend server, its name, its record file and its slowness.
func runStandin(role string, args []string) {
	switch role {
	case standinLog:
		srv, err := logserver.Start(args[0], logserver.Faults{})
		exitOn(err)
		fmt.Printf("event=started addr=%s\n", srv.Addr())
		select {}
	case standinBackend:
		exitOn(serveBackend(args[0], args[1], args[2], args[3]))
	}
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serveBackend is a backend server that records each start, before anything
// else, in a file that outlives it.
func serveBackend(addr, name, recordPath, slowness string) error {
	var factor float64
	if _, err := fmt.Sscan(slowness, &factor); err != nil {
		return err
	}
	record, err := os.OpenFile(recordPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	fmt.Printf("event=started addr=%s\n", l.Addr())
	return http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var job work
		payload, err := io.ReadAll(r.Body)
		if err == nil {
			err = json.Unmarshal(payload, &job)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		line, _ := json.Marshal(startRecord{
			Token: job.Token, Task: r.Header.Get(agent.HeaderTaskID), Server: name, At: time.Now().UnixNano(),
		})
		if _, err := record.Write(append(line, '\n')); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		time.Sleep(time.Duration(float64(job.Millis) * factor * float64(time.Millisecond)))
		if job.Fail {
			http.Error(w, "told to fail", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "text/plain")
		fmt.Fprint(w, resultOf(job.Token))
	}))
}

// resultOf is what every backend server answers to a task.
func resultOf(token string) string { return "result of " + token }
