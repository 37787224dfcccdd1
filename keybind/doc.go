// Package keybind binds idempotency keys that callers bring to job identifiers,
// through a stream of its own on the platform's log: the first record for a key
// wins. After that a keyed job is a job under a reserved identifier like any
// other, and what keeps those from starting twice keeps keyed ones too.
//
// Table is pure: the bindings as one reader knows them. Binder appends bindings
// and follows the stream.
//
// A reader forgets old bindings, and may have begun after they were written.
// Safety then rests on the times inside the keys, and on no clock: the horizon
// is at least the time of every key whose binding the reader may not know, and
// a key at or below it is never bound and never followed.
package keybind
