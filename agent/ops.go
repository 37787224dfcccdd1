package agent

import (
	"errors"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Dump is the state of an agent, for operators. Its size is bounded.
type Dump struct {
	Info     structs.AgentInfo   `json:"info"`
	State    structs.AgentState  `json:"state"`
	Entries  []structs.EntryInfo `json:"entries"`
	Executor executor.Dump       `json:"executor"`
}

// Ready implements ops.Source.
func (a *Agent) Ready() error {
	if a.state().Leaving {
		return errors.New("leaving")
	}
	if len(a.announcer.dir.list()) == 0 {
		return errors.New("no known entry")
	}
	return nil
}

// Dump implements ops.Source.
func (a *Agent) Dump() any {
	entries := a.announcer.dir.list()
	a.mu.Lock()
	defer a.mu.Unlock()
	return Dump{
		Info:     a.self,
		State:    a.executor.State(),
		Entries:  entries,
		Executor: a.executor.Dump(),
	}
}
