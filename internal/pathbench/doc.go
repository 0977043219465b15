// Package pathbench measures the latency that the fleet adds to a call, over
// real processes. It has benchmarks only.
package pathbench
