package structs

import (
	"fmt"
	"time"
)

// ErrorCode is the machine-readable reason of an Error.
type ErrorCode string

// Error codes, as they appear in error bodies and logs.
const (
	CodeInvalid          ErrorCode = "invalid"           // malformed request; do not retry unchanged
	CodeTooLarge         ErrorCode = "too_large"         // a size limit is exceeded
	CodeNotFound         ErrorCode = "not_found"         // no such job or service
	CodeExpired          ErrorCode = "expired"           // the job is settled and its record dropped, or its id was never used and no longer can be
	CodeConflict         ErrorCode = "conflict"          // id already in use with other content, or outdated base revision
	CodeRejected         ErrorCode = "rejected"          // the service's document does not permit the job, or it fits no server; it cannot run unchanged
	CodeForbidden        ErrorCode = "forbidden"         // the caller's token does not permit the request
	CodeQuota            ErrorCode = "quota"             // a quota of the team or a rate limit of the service is exceeded
	CodeOverloaded       ErrorCode = "overloaded"        // no capacity at present
	CodeUnavailable      ErrorCode = "unavailable"       // no backend server or process can handle the request at present
	CodeLeaving          ErrorCode = "leaving"           // the service, backend server or process accepts no new work
	CodeStaleIncarnation ErrorCode = "stale_incarnation" // addressed to another run of the process
	CodeFenced           ErrorCode = "fenced"            // the attempt is fenced at this agent and never starts there
	CodeHomeFenced       ErrorCode = "home_fenced"       // the job's home is fenced at this agent, which starts none of its tasks
	CodeHomeLost         ErrorCode = "home_lost"         // the job's home entry cannot be reached or has ended
	CodeAgentLost        ErrorCode = "agent_lost"        // the agent run that held the task was lost or replaced
	CodeTimeout          ErrorCode = "timeout"           // the timeout of the request, job or task has passed
	CodeCanceled         ErrorCode = "canceled"          // canceled by the caller, or recalled from an agent by the home
	CodeBackend          ErrorCode = "backend_error"     // the call to the backend server failed
	CodeResultLost       ErrorCode = "result_lost"       // the task ran; its result was dropped to bound memory or could not be read
	CodeInternal         ErrorCode = "internal"          // a fault in the system itself
)

// Error describes a refusal or failure. Verdict says whether the request may have
// taken effect.
type Error struct {
	Code    ErrorCode `json:"code"`
	Verdict Verdict   `json:"verdict"`
	Message string    `json:"message"`
	// RetryAfter is how long to wait before sending the same request again; zero
	// if there is no hint.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// NotForwarded is set if the entry forwarded this request to no other
	// process, the job's home included. It does not cover earlier requests with
	// the same id; Verdict does.
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

// WithRetryAfter returns a copy of e with the given RetryAfter.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}
