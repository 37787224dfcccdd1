// Package client is the Go client of chestnuthollow: it reserves job ids,
// submits jobs, and resubmits them under the same id when an answer is lost, so
// that each task starts at most once.
//
// Every failure carries a *structs.Error, found by errors.As, whose verdict
// says whether the request may have run. The client calls a job "not run" only
// on evidence: no request under its id can have reached an entry, or an entry
// has closed the id.
package client
