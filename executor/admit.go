package executor

import (
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// overloadRetry is the hint of a refusal for lack of capacity.
const overloadRetry = 100 * time.Millisecond

// maxTokenBytes bounds kinds, content types and team names.
const maxTokenBytes = 256

// admit says why a new task may not be accepted now, or nil. The newest
// document the agent holds decides, whatever revision the sender knew.
func (e *Executor) admit(now time.Time, req *structs.RunRequest) *structs.Error {
	if e.leaving {
		return e.leavingError()
	}
	if req.Service != e.opts.Service {
		return rejected("the agent guards service %q, not %q", e.opts.Service, req.Service)
	}
	if req.Timeout <= 0 {
		return structs.Errorf(structs.CodeTimeout, structs.NotRun, "the timeout had passed on arrival")
	}
	if err := checkSpec(req); err != nil {
		return err
	}
	if err := e.checkDocument(&req.Spec); err != nil {
		return err
	}
	return e.checkCapacity(now, req)
}

func (e *Executor) leavingError() *structs.Error {
	return structs.Errorf(structs.CodeLeaving, structs.NotRun, "the backend server is leaving")
}

func rejected(format string, args ...any) *structs.Error {
	return structs.Errorf(structs.CodeRejected, structs.NotRun, format, args...)
}

// checkSpec holds the limits that no document widens.
func checkSpec(req *structs.RunRequest) *structs.Error {
	if len(req.Spec.Payload) > structs.MaxPayloadBytes {
		return structs.Errorf(structs.CodeTooLarge, structs.NotRun, "payload of %d bytes, the limit is %d", len(req.Spec.Payload), structs.MaxPayloadBytes)
	}
	for _, s := range []string{req.Spec.Kind, req.Spec.ContentType, req.Team} {
		if !validToken(s) {
			return structs.Errorf(structs.CodeInvalid, structs.NotRun, "kind, content type or team is not fit for an HTTP header")
		}
	}
	return nil
}

// validToken reports whether s can be sent in an HTTP header.
func validToken(s string) bool {
	if len(s) > maxTokenBytes {
		return false
	}
	for i := range len(s) {
		if s[i] < ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

// checkDocument holds what the service's document accepts.
func (e *Executor) checkDocument(spec *structs.TaskSpec) *structs.Error {
	a := &e.document.Accept
	if len(a.Kinds) > 0 && !slices.Contains(a.Kinds, spec.Kind) {
		return rejected("the service does not accept kind %q", spec.Kind)
	}
	if len(a.ContentTypes) > 0 && !slices.Contains(a.ContentTypes, spec.ContentType) {
		return rejected("the service does not accept content type %q", spec.ContentType)
	}
	if a.MaxPayloadBytes > 0 && len(spec.Payload) > a.MaxPayloadBytes {
		return rejected("payload of %d bytes, the service accepts %d", len(spec.Payload), a.MaxPayloadBytes)
	}
	if a.MaxDeclared > 0 && spec.Declared > time.Duration(a.MaxDeclared) {
		return rejected("declared run time %v, the service accepts %v", spec.Declared, time.Duration(a.MaxDeclared))
	}
	return nil
}

// checkCapacity holds slots, queue and the caps on memory.
func (e *Executor) checkCapacity(now time.Time, req *structs.RunRequest) *structs.Error {
	switch {
	case e.running >= e.slots() && e.liveQueue(now) >= e.queueLimit():
		return overloaded("slots and queue are full")
	case len(e.records) >= e.opts.MaxRecords:
		return overloaded("the agent's memory for tasks is full")
	case e.payloadBytes+specSize(&req.Spec) > e.opts.MaxPayloadBytes:
		return overloaded("the agent's memory for payloads is full")
	case e.jobOf(e.homes[req.Task.Job.Home], req.Task.Job.Seq) == nil:
		return overloaded("the agent's memory for jobs is full")
	}
	return nil
}

// liveQueue drops what has timed out in the queue and returns its length.
func (e *Executor) liveQueue(now time.Time) int {
	e.expireQueued(now)
	return len(e.queue)
}

func overloaded(message string) *structs.Error {
	return structs.Errorf(structs.CodeOverloaded, structs.NotRun, "%s", message).WithRetryAfter(overloadRetry)
}
