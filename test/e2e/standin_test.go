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

// Stand-ins that a child process of this test binary can run.
const (
	standinLog     = "log"
	standinBackend = "backend"
)

// taskPayload tells the stand-in backend server how to treat a task.
type taskPayload struct {
	Token string `json:"token"` // unique among all tasks
	// Millis is the duration of the task on a server of slowness 1.
	Millis int `json:"ms"`
}

// startRecord is one line of the backend servers' record of starts.
type startRecord struct {
	Token  string `json:"token"`
	Task   string `json:"task"`
	Server string `json:"server"`
	At     int64  `json:"at"` // wall clock in nanoseconds
}

// runStandin serves until the process is killed. Its arguments are the address
// and, for a backend server, its name, the path of its record of starts and its
// slowness.
func runStandin(role string, args []string) {
	switch role {
	case standinLog:
		srv, err := logserver.Start(args[0], logserver.Faults{})
		exitOnError(err)
		fmt.Printf("event=started addr=%s\n", srv.Addr())
		select {}
	case standinBackend:
		exitOnError(serveBackend(args[0], args[1], args[2], args[3]))
	}
}

func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serveBackend runs a backend server that records each start, before it does
// anything else, in a file that outlives it.
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
		var task taskPayload
		payload, err := io.ReadAll(r.Body)
		if err == nil {
			err = json.Unmarshal(payload, &task)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		line, _ := json.Marshal(startRecord{
			Token: task.Token, Task: r.Header.Get(agent.HeaderTaskID), Server: name, At: time.Now().UnixNano(),
		})
		if _, err := record.Write(append(line, '\n')); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		time.Sleep(time.Duration(float64(task.Millis) * factor * float64(time.Millisecond)))
		w.Header().Set("Content-Type", "text/plain")
		fmt.Fprint(w, resultOf(task.Token))
	}))
}

// resultOf returns every backend server's response to a task.
func resultOf(token string) string { return "result of " + token }
