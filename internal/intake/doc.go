// Package intake bounds what the clients of an HTTP server occupy in a process, whatever they send. All
// bounds follow from the memory and the descriptors of the instance (LimitsFor).
//
// A Pool reads bodies. Bodies up to SmallBody bytes are bounded by the number of connections alone, so that
// large ones cannot keep them from being read. Larger ones share Limits.BodyBytes. When these are used up,
// the bodies that arrive most slowly are given up for others, but none within its first second. If that is
// not enough, the body that needs more memory is refused at once.
package intake
