// Package client is the Go client of chestnuthollow. It reserves job ids, submits
// jobs, and resubmits a job under the same id when a response is lost, so that
// each task starts at most once.
//
// Every failure wraps a *structs.Error, accessible with errors.As, whose verdict
// says whether the request may have run. The client reports a job as "not run"
// only with proof: either no request under its id can have reached an entry, or
// an entry has closed the id, so that no job can run under it any more.
package client
