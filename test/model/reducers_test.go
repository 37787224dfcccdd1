package model_test

import (
	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

func newCoordinator(self structs.EntryInfo, seed uint64) *coordinator.Coordinator {
	return coordinator.New(coordinator.Options{Self: self, Seed: seed})
}

func newExecutor(info structs.AgentInfo) *executor.Executor {
	o := executor.DefaultOptions()
	o.Name = info.Name
	o.Service = info.Service
	o.Incarnation = info.Incarnation
	o.Slots = info.Slots
	return executor.New(o)
}
