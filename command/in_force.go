package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Waiting for a revision to be in force.
const (
	defaultWaitTimeout = 30 * time.Second
	waitPoll           = 250 * time.Millisecond
	entryTimeout       = 2 * time.Second
)

// Roles of processes in output.
const (
	roleEntry = "entry"
	roleAgent = "agent"
)

// processAt is a process and the revision that it has in force.
type processAt struct {
	Role     string `json:"role"`
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	// Problem says why the revision is not known; empty if it is.
	Problem string `json:"problem,omitempty"`
}

// waitInForce returns the live processes that do not have the record in force
// when timeout ends; none if all have it earlier.
func (s *session) waitInForce(ctx context.Context, rec *structs.DocumentRecord, timeout time.Duration) ([]processAt, error) {
	bar := newProgress(s.errOut)
	defer bar.clear()
	deadline := time.Now().Add(timeout)
	for {
		behind, err := s.behind(ctx, rec)
		if err == nil && len(behind) == 0 {
			return nil, nil
		}
		if !time.Now().Before(deadline) {
			return behind, err
		}
		bar.show("revision %d: %d processes are behind", rec.Revision, len(behind))
		if err := sleep(ctx, waitPoll); err != nil {
			return behind, nil
		}
	}
}

// behind asks every live entry for the revision it has, and for those of the
// service's agents. An agent counts at the highest revision that an entry saw.
func (s *session) behind(ctx context.Context, rec *structs.DocumentRecord) ([]processAt, error) {
	entries, err := s.client.Entries(ctx)
	if err != nil {
		return nil, err
	}
	var behind []processAt
	agents := make(map[structs.Incarnation]structs.AgentStatus)
	for _, e := range entries {
		at, seen := entryAt(ctx, e, rec.Service)
		if at.Revision < rec.Revision {
			behind = append(behind, at)
		}
		for _, a := range seen {
			if known, ok := agents[a.Info.Incarnation]; !ok || a.State.Seq > known.State.Seq {
				agents[a.Info.Incarnation] = a
			}
		}
	}
	for _, a := range agents {
		if a.State.Revision < rec.Revision {
			behind = append(behind, processAt{Role: roleAgent, Name: a.Info.Name, Zone: a.Info.Zone, Revision: a.State.Revision})
		}
	}
	return behind, nil
}

// entryAt returns the revision of a service that an entry has in force, and the
// service's agents that it sees.
func entryAt(ctx context.Context, e structs.EntryInfo, service string) (processAt, []structs.AgentStatus) {
	at := processAt{Role: roleEntry, Name: e.Name, Zone: e.Zone}
	st, err := statusAt(ctx, e)
	if err != nil {
		at.Problem = err.Error()
		return at, nil
	}
	for _, sv := range st.Services {
		if sv.Service == service {
			at.Revision = sv.Revision
		}
	}
	var agents []structs.AgentStatus
	for _, a := range st.Agents {
		if a.Info.Service == service {
			agents = append(agents, a)
		}
	}
	return at, agents
}

func statusAt(ctx context.Context, e structs.EntryInfo) (*structs.Status, error) {
	cl, err := client.New(client.Options{Entries: []string{entryURL(e.HTTPAddr)}, MaxRetries: 1})
	if err != nil {
		return nil, err
	}
	defer cl.Close()
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	return cl.Status(ctx)
}

// behindError names the processes that do not have the record in force.
func behindError(rec *structs.DocumentRecord, behind []processAt) error {
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
