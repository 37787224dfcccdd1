package entry

import (
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/chestnuthollow/chestnuthollow/fold"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

func (e *Entry) registerServices(s *echo.Echo) {
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
		return writeError(c, noDocument(c.Param("name")))
	}
	return c.JSON(http.StatusOK, rec)
}

func (e *Entry) getHistory(c echo.Context) error {
	history := e.docs.follower.Fold().History(c.Param("name"))
	if len(history) == 0 {
		return writeError(c, noDocument(c.Param("name")))
	}
	return c.JSON(http.StatusOK, history)
}

func noDocument(service string) *structs.Error {
	return structs.Errorf(structs.CodeNotFound, structs.NotRun, "service %q has no document", service)
}

// putService publishes an edit.
func (e *Entry) putService(c echo.Context) error {
	if !e.mayPublish(c.Request()) {
		return c.JSON(http.StatusForbidden, structs.Errorf(structs.CodeRejected, structs.NotRun, "the publish token is missing or wrong"))
	}
	var edit structs.Edit
	if err := readJSON(c, maxEditBody, &edit); err != nil {
		return writeError(c, err)
	}
	rec, err := e.docs.publisher.Publish(c.Request().Context(), fold.Edit{
		ID:      edit.EditID,
		Service: c.Param("name"),
		Base:    edit.Base,
		Text:    edit.Text,
	})
	if err != nil {
		return writeError(c, publishError(err))
	}
	return c.JSON(http.StatusOK, rec)
}

// mayPublish checks the operator's bearer token against the settings.
func (e *Entry) mayPublish(r *http.Request) bool {
	if e.opts.PublishToken == "" {
		return true
	}
	token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(token), []byte(e.opts.PublishToken)) == 1
}

func publishError(err error) *structs.Error {
	var known *structs.Error
	if errors.As(err, &known) {
		return known
	}
	return structs.Errorf(structs.CodeInternal, structs.MayHaveRun, "%v", err)
}
