// Package pathbench contains benchmarks that run real node processes. They
// measure the latency that the fleet adds to a call and the resources that an
// idle fleet uses.
package pathbench
