package structs

import (
	"fmt"
	"time"
)

// ErrorCode names the reason of an Error for programs.
type ErrorCode string

// Error codes, as they appear in error bodies and logs.
const (
	CodeInvalid          ErrorCode = "invalid"           // malformed request; do not retry unchanged
	CodeTooLarge         ErrorCode = "too_large"         // a size limit was exceeded
	CodeNotFound         ErrorCode = "not_found"         // no such job or service
	CodeExpired          ErrorCode = "expired"           // the job id is older than what its home remembers
	CodeConflict         ErrorCode = "conflict"          // same id, other content; or a stale base revision
	CodeRejected         ErrorCode = "rejected"          // the service's document forbids it; it can never run
	CodeForbidden        ErrorCode = "forbidden"         // the caller's token does not allow it
	CodeQuota            ErrorCode = "quota"             // the team is over its quota
	CodeOverloaded       ErrorCode = "overloaded"        // no capacity for it now
	CodeUnavailable      ErrorCode = "unavailable"       // no backend server or process can take it now
	CodeLeaving          ErrorCode = "leaving"           // the backend server or process is leaving
	CodeStaleIncarnation ErrorCode = "stale_incarnation" // addressed to an earlier run of the process
	CodeFenced           ErrorCode = "fenced"            // the attempt is fenced at this agent
	CodeHomeFenced       ErrorCode = "home_fenced"       // the agent takes nothing of that home any more
	CodeHomeLost         ErrorCode = "home_lost"         // the job's home entry is gone
	CodeAgentLost        ErrorCode = "agent_lost"        // the agent holding the task is gone
	CodeTimeout          ErrorCode = "timeout"           // the job's or task's timeout passed
	CodeCanceled         ErrorCode = "canceled"          // the caller canceled the job
	CodeBackend          ErrorCode = "backend_error"     // the backend server answered with an error
	CodeResultLost       ErrorCode = "result_lost"       // the task ran; its result was dropped to bound memory
	CodeInternal         ErrorCode = "internal"          // a fault of the system itself
)

// Error is a refusal or failure together with what is known of its effect.
type Error struct {
	Code    ErrorCode `json:"code"`
	Verdict Verdict   `json:"verdict"`
	Message string    `json:"message"`
	// RetryAfter is how long to wait before the same request is worth sending
	// again; zero says nothing about it.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// NotForwarded says that the entry handed this request to no other
	// process, the job's home included. It says nothing of earlier requests
	// under the same id, which Verdict covers.
	NotForwarded bool `json:"not_forwarded,omitempty"`
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
}

// Errorf returns an Error with a formatted message.
func Errorf(code ErrorCode, v Verdict, format string, args ...any) *Error {
	return &Error{Code: code, Verdict: v, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e that carries a retry hint.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}
