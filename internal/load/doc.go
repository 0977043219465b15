// Package load sends calls to a fleet as its callers would, in an open or a
// closed loop, records what the callers saw, and checks it against the
// targets' operation logs. Demo, failure tests and benchmarks use it.
package load
