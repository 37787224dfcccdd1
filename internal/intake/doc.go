// Package intake bounds what the clients of an HTTP server occupy in a process, whatever they send: open
// connections, bytes that are received and not read yet, bodies that are being read, and the memory that
// decoding a body takes. All bounds follow from the memory and the descriptors of the instance (LimitsFor).
//
// A Listener keeps at most Limits.Conns connections. At the limit, a new connection replaces one whose
// request has not arrived as a whole. A connection is never closed while its request is being served.
//
// A Pool reads bodies. Bodies up to SmallBody bytes are bounded by the number of connections alone, so that
// large ones cannot keep them from being read. Larger ones share Limits.BodyBytes. When these are used up,
// the bodies that arrive most slowly are given up for others, but none within its first second. If that is
// not enough, the body that needs more memory is refused at once.
//
// A response that is written before the whole body was read is sent at once, and the connection is closed
// some time after that, so that the client can read it.
package intake
