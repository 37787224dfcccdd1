// Package idempotency binds idempotency keys, which callers choose, to job
// identifiers. The bindings are records of a separate stream on the platform's
// log, and the first record for a key wins. A job submitted under a key then
// runs under the identifier bound to that key, so that the mechanisms that
// prevent any job from starting twice cover it as well.
//
// Table is the materialized state: the bindings that one reader has replayed
// from the stream. Binder appends bindings and follows the stream.
//
// A reader drops old bindings, and may have started reading after they were
// written. Safety then depends only on the times inside the keys and on no
// clock. The horizon is at least the time of every key whose binding the reader
// may not have, and a key whose time is at or before the horizon and whose
// binding is not kept is neither bound nor resolved to a job.
package idempotency
