package entry

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

func (e *Entry) getStatus(c echo.Context) error {
	d, _ := e.snapshot()
	status := structs.Status{
		Entry:     e.self,
		Leaving:   d.Leaving,
		Entries:   e.peers.entries(),
		Services:  serviceStatuses(d.Services),
		LogOffset: e.docs.follower.State().Next(),
		LogError:  e.docs.follower.LogError(),
	}
	for _, a := range d.Agents {
		status.Agents = append(status.Agents, structs.AgentStatus{Info: a.Info, State: a.State})
	}
	return c.JSON(http.StatusOK, status)
}

func serviceStatuses(services []coordinator.ServiceDump) []structs.ServiceStatus {
	list := make([]structs.ServiceStatus, 0, len(services))
	for _, s := range services {
		list = append(list, structs.ServiceStatus{Service: s.Name, Owner: s.Owner, Revision: s.Revision})
	}
	return list
}
