package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Timeouts and polling while waiting for a revision to be in force.
const (
	defaultWaitTimeout  = 30 * time.Second
	inForcePollInterval = 250 * time.Millisecond
	entryStatusTimeout  = 2 * time.Second
)

// Roles of processes in output.
const (
	roleEntry = "entry"
	roleAgent = "agent"
)

// processRevision is the JSON form of a process and the revision that it has in
// force.
type processRevision struct {
	Role     string `json:"role"`
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	// Problem is the error because of which the revision is unknown; empty if it
	// is known.
	Problem string `json:"problem,omitempty"`
}

// waitInForce waits until every live process has the record in force and returns nil.
// After timeout, or when ctx ends, it returns the result of the last check.
func (s *session) waitInForce(ctx context.Context, rec *structs.DocumentRecord, timeout time.Duration) ([]processRevision, error) {
	bar := newProgress(s.errOut)
	defer bar.clear()
	deadline := time.Now().Add(timeout)
	for {
		behind, err := s.processesBehind(ctx, rec)
		if err == nil && len(behind) == 0 {
			return nil, nil
		}
		if !time.Now().Before(deadline) {
			return behind, err
		}
		bar.show("revision %d: not yet in force at %d processes", rec.Revision, len(behind))
		if sleep(ctx, inForcePollInterval) != nil {
			return behind, err
		}
	}
}

// processesBehind asks every live entry for its status and returns the entries, and
// the agents of the service, that do not have the record in force. An entry that
// does not answer is included. The revision of an agent is taken from its newest
// state, that with the highest Seq, at any entry.
func (s *session) processesBehind(ctx context.Context, rec *structs.DocumentRecord) ([]processRevision, error) {
	entries, err := s.client.Entries(ctx)
	if err != nil {
		return nil, err
	}
	var behind []processRevision
	agents := make(map[structs.Incarnation]structs.AgentStatus)
	for _, e := range entries {
		process, reported := entryRevision(ctx, e, rec.Service)
		if process.Revision < rec.Revision {
			behind = append(behind, process)
		}
		for _, a := range reported {
			if newest, ok := agents[a.Info.Incarnation]; !ok || a.State.Seq > newest.State.Seq {
				agents[a.Info.Incarnation] = a
			}
		}
	}
	for _, a := range agents {
		if a.State.Revision < rec.Revision {
			behind = append(behind, processRevision{Role: roleAgent, Name: a.Info.Name, Zone: a.Info.Zone, Revision: a.State.Revision})
		}
	}
	return behind, nil
}

// entryRevision returns the revision of a service that an entry has in force, and
// the service's agents known to that entry.
func entryRevision(ctx context.Context, e structs.EntryInfo, service string) (processRevision, []structs.AgentStatus) {
	process := processRevision{Role: roleEntry, Name: e.Name, Zone: e.Zone}
	st, err := entryStatus(ctx, e)
	if err != nil {
		process.Problem = err.Error()
		return process, nil
	}
	for _, sv := range st.Services {
		if sv.Service == service {
			process.Revision = sv.Revision
		}
	}
	var agents []structs.AgentStatus
	for _, a := range st.Agents {
		if a.Info.Service == service {
			agents = append(agents, a)
		}
	}
	return process, agents
}

func entryStatus(ctx context.Context, e structs.EntryInfo) (*structs.Status, error) {
	cl, err := client.New(client.Options{Entries: []string{entryURL(e.HTTPAddr)}, MaxRetries: 1})
	if err != nil {
		return nil, err
	}
	defer cl.Close()
	ctx, cancel := context.WithTimeout(ctx, entryStatusTimeout)
	defer cancel()
	return cl.Status(ctx)
}

// notInForceError reports the processes that do not have the record in force.
func notInForceError(rec *structs.DocumentRecord, behind []processRevision) error {
	names := make([]string, 0, len(behind))
	for _, p := range behind {
		name := fmt.Sprintf("%s %s in %s (revision %d)", p.Role, p.Name, p.Zone, p.Revision)
		if p.Problem != "" {
			name = fmt.Sprintf("%s %s in %s (%s)", p.Role, p.Name, p.Zone, p.Problem)
		}
		names = append(names, name)
	}
	return fmt.Errorf("service %s: revision %d is published, but not yet in force at: %s",
		rec.Service, rec.Revision, strings.Join(names, ", "))
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
