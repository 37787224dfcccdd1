// Package ops serves the operators' endpoints of a process: health, readiness,
// metrics and a dump of its state.
package ops

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
)

// Source provides the state of the process that the endpoints report.
type Source interface {
	// Ready returns nil if the process can serve, and otherwise the reason why
	// it cannot.
	Ready() error
	// Dump returns the state of the process, limited in size, to be encoded as
	// JSON.
	Dump() any
}

// Register adds the routes GET /healthz, /readyz, /metrics and /debug/dump to e.
func Register(e *echo.Echo, src Source, reg metrics.Registry) {
	e.GET("/healthz", func(c echo.Context) error {
		return c.JSON(http.StatusOK, map[string]string{"status": "ok"})
	})
	e.GET("/readyz", func(c echo.Context) error {
		if err := src.Ready(); err != nil {
			return c.JSON(http.StatusServiceUnavailable, map[string]string{"status": "not ready", "reason": err.Error()})
		}
		return c.JSON(http.StatusOK, map[string]string{"status": "ready"})
	})
	e.GET("/metrics", func(c echo.Context) error {
		return c.JSON(http.StatusOK, reg.GetAll())
	})
	e.GET("/debug/dump", func(c echo.Context) error {
		return c.JSONPretty(http.StatusOK, src.Dump(), "  ")
	})
}

// NewServer returns an echo instance that prints neither its banner nor its port.
func NewServer() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}
