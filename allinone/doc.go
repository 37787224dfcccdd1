// Package allinone runs a whole small system in one process on loopback, for
// trying it out: a stand-in of the platform's log, stand-in backend servers of
// different speeds, an agent beside each, and entries. It is not for production.
package allinone
