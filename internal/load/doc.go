// Package load sends calls to a fleet as its callers would, in an open or a
// closed loop. It records the responses that the callers receive and checks
// them against the targets' operation logs. The demo, failure tests and
// benchmarks use it.
package load
