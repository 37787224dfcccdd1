package executor

import (
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// overloadRetryAfter is the retry hint of a refusal for lack of capacity.
const overloadRetryAfter = 100 * time.Millisecond

// maxHeaderValueBytes bounds kinds, content types and team names, which are sent
// to the backend server as HTTP headers.
const maxHeaderValueBytes = 256

// checkAdmission returns why a new task cannot be admitted now, or nil. It
// applies the newest document the agent holds, also if the sender decided under
// another revision.
func (e *Executor) checkAdmission(now time.Time, req *structs.RunRequest) *structs.Error {
	if e.leaving {
		return e.leavingError()
	}
	if req.Service != e.opts.Service {
		return rejectedError("this agent serves service %q, not %q", e.opts.Service, req.Service)
	}
	if req.Timeout <= 0 {
		return structs.Errorf(structs.CodeTimeout, structs.NotRun, "the timeout had already passed when the request arrived")
	}
	if err := checkSpec(req); err != nil {
		return err
	}
	if err := e.checkAccept(&req.Spec); err != nil {
		return err
	}
	return e.checkCapacity(now, req)
}

func (e *Executor) leavingError() *structs.Error {
	return structs.Errorf(structs.CodeLeaving, structs.NotRun, "the backend server is leaving")
}

func rejectedError(format string, args ...any) *structs.Error {
	return structs.Errorf(structs.CodeRejected, structs.NotRun, format, args...)
}

// checkSpec checks the limits that hold for every service; a document cannot
// raise them.
func checkSpec(req *structs.RunRequest) *structs.Error {
	if len(req.Spec.Payload) > structs.MaxPayloadBytes {
		return structs.Errorf(structs.CodeTooLarge, structs.NotRun, "payload of %d bytes exceeds the limit of %d bytes", len(req.Spec.Payload), structs.MaxPayloadBytes)
	}
	for _, s := range []string{req.Spec.Kind, req.Spec.ContentType, req.Team} {
		if !validHeaderValue(s) {
			return structs.Errorf(structs.CodeInvalid, structs.NotRun, "kind, content type or team is too long or not printable ASCII")
		}
	}
	return nil
}

// validHeaderValue reports whether s can be sent as the value of an HTTP header:
// printable ASCII of bounded length, so that it cannot add a header line.
func validHeaderValue(s string) bool {
	if len(s) > maxHeaderValueBytes {
		return false
	}
	for i := range len(s) {
		if s[i] < ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

// checkAccept checks a task against what the service's document accepts.
func (e *Executor) checkAccept(spec *structs.TaskSpec) *structs.Error {
	a := &e.document.Accept
	if len(a.Kinds) > 0 && !slices.Contains(a.Kinds, spec.Kind) {
		return rejectedError("the service does not accept kind %q", spec.Kind)
	}
	if len(a.ContentTypes) > 0 && !slices.Contains(a.ContentTypes, spec.ContentType) {
		return rejectedError("the service does not accept content type %q", spec.ContentType)
	}
	if a.MaxPayloadBytes > 0 && len(spec.Payload) > a.MaxPayloadBytes {
		return rejectedError("payload of %d bytes exceeds the service's limit of %d bytes", len(spec.Payload), a.MaxPayloadBytes)
	}
	if a.MaxDeclared > 0 && spec.Declared > time.Duration(a.MaxDeclared) {
		return rejectedError("declared run time %v exceeds the service's limit of %v", spec.Declared, time.Duration(a.MaxDeclared))
	}
	return nil
}

// checkCapacity checks slots, queue and the limits on memory. The last check
// creates the task's job if it does not exist yet.
func (e *Executor) checkCapacity(now time.Time, req *structs.RunRequest) *structs.Error {
	switch {
	case e.running >= e.slots() && e.queueLenAfterExpiry(now) >= e.queueLimit():
		return overloadedError("all slots are in use and the queue is full")
	case len(e.records) >= e.opts.MaxRecords:
		return overloadedError("the agent has reached its limit of task records")
	case e.payloadBytes+specSize(&req.Spec) > e.opts.MaxPayloadBytes:
		return overloadedError("the agent has reached its memory limit for payloads")
	case e.getOrCreateJob(e.homes[req.Task.Job.Home], req.Task.Job.Seq) == nil:
		return overloadedError("the agent has reached its limit of job records")
	}
	return nil
}

// queueLenAfterExpiry removes the tasks that have timed out in the queue and
// returns the length of the rest.
func (e *Executor) queueLenAfterExpiry(now time.Time) int {
	e.expireQueued(now)
	return len(e.queue)
}

func overloadedError(message string) *structs.Error {
	return structs.Errorf(structs.CodeOverloaded, structs.NotRun, "%s", message).WithRetryAfter(overloadRetryAfter)
}
