// Package allinone runs a complete small system in one process on loopback, for
// evaluation and demonstration: stand-ins for the platform's logs, stand-in backend
// servers of different speeds with an agent beside each, and entries. It is not
// for production use.
package allinone
