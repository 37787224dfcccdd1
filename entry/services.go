package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnuthollow/chestnuthollow/logstate"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

func (e *Entry) registerServiceRoutes(s *echo.Echo) {
	s.GET("/v1/services", e.getServices)
	s.GET("/v1/services/:name", e.getService)
	s.PUT("/v1/services/:name", e.putService)
	s.GET("/v1/services/:name/history", e.getHistory)
}

func (e *Entry) getServices(c echo.Context) error {
	d, _ := e.snapshot()
	return c.JSON(http.StatusOK, serviceStatuses(d.Services))
}

func (e *Entry) getService(c echo.Context) error {
	rec := e.docs.record(c.Param("name"))
	if rec.Revision == 0 {
		return writeError(c, noDocumentError(c.Param("name")))
	}
	return c.JSON(http.StatusOK, rec)
}

func (e *Entry) getHistory(c echo.Context) error {
	history := e.docs.follower.State().History(c.Param("name"))
	if len(history) == 0 {
		return writeError(c, noDocumentError(c.Param("name")))
	}
	return c.JSON(http.StatusOK, history)
}

func noDocumentError(service string) *structs.Error {
	return structs.Errorf(structs.CodeNotFound, structs.NotRun, "service %q has no document", service)
}

// putService publishes an edit of a document.
func (e *Entry) putService(c echo.Context) error {
	var body structs.Edit
	if err := e.readJSON(c, maxEditBody, &body); err != nil {
		return writeError(c, err)
	}
	edit := logstate.Edit{
		ID:        body.EditID,
		Service:   c.Param("name"),
		Base:      body.Base,
		Text:      body.Text,
		Published: time.Now().UTC(),
	}
	if err := e.authorizePublish(c.Request(), &edit); err != nil {
		return writeError(c, err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), e.opts.PublishTimeout.D())
	defer cancel()
	rec, err := e.docs.publisher.Publish(ctx, edit)
	if err != nil {
		return writeError(c, publishError(err))
	}
	return c.JSON(http.StatusOK, rec)
}

func publishError(err error) *structs.Error {
	var typedErr *structs.Error
	if errors.As(err, &typedErr) {
		return typedErr
	}
	return structs.Errorf(structs.CodeInternal, structs.MayHaveRun, "%v", err)
}
