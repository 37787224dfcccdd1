package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

const servicesPath = "/v1/services"

// publishWait is how long an entry may take to publish an edit.
const publishWait = 15 * time.Second

func servicePath(name string) string { return servicesPath + "/" + url.PathEscape(name) }

// Services returns the services known to an entry, with the revisions in force.
func (c *Client) Services(ctx context.Context) ([]structs.ServiceStatus, error) {
	return get[[]structs.ServiceStatus](ctx, c, servicesPath)
}

// Service returns the document in force of a service.
func (c *Client) Service(ctx context.Context, name string) (*structs.DocumentRecord, error) {
	return get[*structs.DocumentRecord](ctx, c, servicePath(name))
}

// History returns the retained revisions of a service's document, newest first.
func (c *Client) History(ctx context.Context, name string) ([]structs.DocumentRecord, error) {
	return get[[]structs.DocumentRecord](ctx, c, servicePath(name)+"/history")
}

// Apply publishes an edit and returns the new record. An edit without an EditID
// gets a new one. If a response is lost, the edit is sent again under the same
// EditID; if it stays in doubt, Apply looks for it in the history. If another edit
// was accepted on the same base first, Apply returns a *structs.Error with code
// conflict.
func (c *Client) Apply(ctx context.Context, service string, edit structs.Edit) (*structs.DocumentRecord, error) {
	if edit.EditID == "" {
		edit.EditID = uuid.NewString()
	}
	body, err := json.Marshal(edit)
	if err != nil {
		return nil, err
	}
	var rec structs.DocumentRecord
	r := request{
		method: http.MethodPut,
		path:   servicePath(service),
		body:   body,
		wait:   publishWait,
		token:  c.opts.PublishToken,
	}
	if _, err = c.call(ctx, r, &rec); err == nil {
		return &rec, nil
	}
	if Verdict(err) == structs.MayHaveRun {
		if found := c.findEdit(ctx, service, edit.EditID); found != nil {
			return found, nil
		}
	}
	return nil, err
}

// findEdit returns the record of an accepted edit; nil if the history does not
// show it.
func (c *Client) findEdit(ctx context.Context, service, editID string) *structs.DocumentRecord {
	history, err := c.History(ctx, service)
	if err != nil {
		return nil
	}
	for i := range history {
		if history[i].EditID == editID {
			return &history[i]
		}
	}
	return nil
}

// Entries returns the live entries, as known to one entry.
func (c *Client) Entries(ctx context.Context) ([]structs.EntryInfo, error) {
	return get[[]structs.EntryInfo](ctx, c, "/v1/entries")
}

// Status returns the state of the system, as known to one entry.
func (c *Client) Status(ctx context.Context) (*structs.Status, error) {
	return get[*structs.Status](ctx, c, "/v1/status")
}

// Dump returns the internal state of the process, entry or agent, at a base URL.
func (c *Client) Dump(ctx context.Context, baseURL string) (json.RawMessage, error) {
	to := &endpoint{url: strings.TrimRight(baseURL, "/")}
	var out json.RawMessage
	rep := c.send(ctx, to, request{method: http.MethodGet, path: "/debug/dump"})
	if err := rep.decode(&out); err != nil {
		return nil, err
	}
	return out, nil
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var out T
	_, err := c.call(ctx, request{method: http.MethodGet, path: path}, &out)
	return out, err
}
