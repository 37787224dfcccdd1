// Package structs defines the types shared by chestnuthollow's processes and its
// clients: identifiers, verdicts, errors, jobs, and the messages between entries
// and agents. It does no I/O and imports no other package of this module.
package structs
