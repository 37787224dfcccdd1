package coordinator

import (
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/quota"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// admit checks whether a job may start and assigns it to its service. The
// verdict of every refusal is NotRun.
func (c *Coordinator) admit(j *job, spec *structs.JobSpec) *structs.Error {
	if err := c.checkSpec(spec); err != nil {
		return err
	}
	if c.leaving {
		return c.leavingError()
	}
	svc := c.services[spec.Service]
	if svc == nil || svc.doc == nil {
		return c.noDocumentError(spec.Service)
	}
	if err := checkAccept(svc.doc, spec); err != nil {
		return err
	}
	if err := c.checkCapacity(svc, spec); err != nil {
		return err
	}
	key := quota.Key(j.fingerprint)
	if err := c.checkQueue(svc, spec, key); err != nil {
		return err
	}
	if err := svc.limiter.Admit(c.now, spec.Team, key, len(spec.Tasks)); err != nil {
		return err
	}
	j.service = svc
	return nil
}

// noDocumentError returns the refusal of a job whose service has no document at
// this entry.
func (c *Coordinator) noDocumentError(service string) *structs.Error {
	if !c.documentsLoaded {
		return structs.Errorf(structs.CodeUnavailable, structs.NotRun, "this entry has not loaded the service documents yet").
			WithRetryAfter(retryAfterUnavailable)
	}
	return structs.Errorf(structs.CodeNotFound, structs.NotRun, "service %q has no document", service)
}

// checkSpec checks the limits that apply to every service.
func (c *Coordinator) checkSpec(spec *structs.JobSpec) *structs.Error {
	refuse := func(code structs.ErrorCode, format string, args ...any) *structs.Error {
		return structs.Errorf(code, structs.NotRun, format, args...)
	}
	n := len(spec.Tasks)
	switch {
	case spec.Service == "":
		return refuse(structs.CodeInvalid, "service is missing")
	case spec.Team == "":
		return refuse(structs.CodeInvalid, "team is missing")
	case n == 0:
		return refuse(structs.CodeInvalid, "a job needs at least one task")
	case n > structs.MaxTasksPerJob:
		return refuse(structs.CodeTooLarge, "job has %d tasks: the limit is %d", n, structs.MaxTasksPerJob)
	case spec.Timeout < 0 || spec.Timeout > c.opts.MaxTimeout:
		return refuse(structs.CodeInvalid, "timeout %s: want 0 to %s", spec.Timeout, c.opts.MaxTimeout)
	case spec.PayloadBytes() > structs.MaxJobBytes:
		return refuse(structs.CodeTooLarge, "payloads total %d bytes: the limit is %d", spec.PayloadBytes(), structs.MaxJobBytes)
	}
	for i := range spec.Tasks {
		if size := len(spec.Tasks[i].Payload); size > structs.MaxPayloadBytes {
			return refuse(structs.CodeTooLarge, "task %d: payload of %d bytes: the limit is %d", i, size, structs.MaxPayloadBytes)
		}
		if spec.Tasks[i].Declared < 0 {
			return refuse(structs.CodeInvalid, "task %d: declared time is negative", i)
		}
	}
	return nil
}

// checkAccept refuses a job that the service's document does not allow,
// whatever the load.
func checkAccept(doc *document.Document, spec *structs.JobSpec) *structs.Error {
	refuse := func(format string, args ...any) *structs.Error {
		return structs.Errorf(structs.CodeRejected, structs.NotRun, format, args...)
	}
	a := &doc.Accept
	if a.MaxTasksPerJob > 0 && len(spec.Tasks) > a.MaxTasksPerJob {
		return refuse("job has %d tasks: the service accepts at most %d per job", len(spec.Tasks), a.MaxTasksPerJob)
	}
	if limit := time.Duration(a.MaxTimeout); limit > 0 && spec.Timeout > limit {
		return refuse("timeout %s: the service accepts at most %s", spec.Timeout, limit)
	}
	for i := range spec.Tasks {
		t := &spec.Tasks[i]
		if len(a.Kinds) > 0 && !slices.Contains(a.Kinds, t.Kind) {
			return refuse("task %d: the service does not accept kind %q", i, t.Kind)
		}
		if len(a.ContentTypes) > 0 && !slices.Contains(a.ContentTypes, t.ContentType) {
			return refuse("task %d: the service does not accept content type %q", i, t.ContentType)
		}
		if a.MaxPayloadBytes > 0 && len(t.Payload) > a.MaxPayloadBytes {
			return refuse("task %d: payload of %d bytes: the service accepts at most %d", i, len(t.Payload), a.MaxPayloadBytes)
		}
		if limit := time.Duration(a.MaxDeclared); limit > 0 && t.Declared > limit {
			return refuse("task %d: declared time %s: the service accepts at most %s", i, t.Declared, limit)
		}
	}
	return nil
}

// checkCapacity refuses a job that the service or this entry cannot accept at
// present.
func (c *Coordinator) checkCapacity(svc *service, spec *structs.JobSpec) *structs.Error {
	if svc.leaving(c.now) {
		return structs.Errorf(structs.CodeLeaving, structs.NotRun, "service %s is leaving and accepts no new jobs", svc.name).
			WithRetryAfter(retryAfterUnavailable)
	}
	if !svc.available() {
		return structs.Errorf(structs.CodeUnavailable, structs.NotRun, "service %s has no available backend server", svc.name).
			WithRetryAfter(retryAfterUnavailable)
	}
	over := c.openJobs >= c.opts.MaxOpenJobs ||
		c.openTasks+len(spec.Tasks) > c.opts.MaxOpenTasks ||
		c.heldBytes+spec.PayloadBytes() > c.opts.MaxHeldBytes
	if over {
		return structs.Errorf(structs.CodeOverloaded, structs.NotRun, "this entry has reached its limit of open jobs, open tasks or held bytes").
			WithRetryAfter(retryAfterOverload)
	}
	return nil
}
