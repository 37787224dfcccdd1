// Package structs holds the types that chestnuthollow's processes and its
// clients share: identifiers, verdicts, errors, jobs, and the messages between
// entries and agents. It does no I/O and depends on no other package.
package structs
