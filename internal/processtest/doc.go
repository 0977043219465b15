// Package processtest runs a fleet as real processes on loopback, for the
// demo, process-level failure tests and benchmarks.
//
// Each fleet has its own loopback network (127.N.0.0/16) and each node its own
// address in that network, so the port numbers are fixed and do not collide.
// The kernel sends SIGKILL to all processes of a fleet when the process that
// started them ends, for whatever reason. Logs and settings files are in a
// temporary directory that Stop removes, unless the environment variable
// SISKINVALE_KEEP_LOGS is set.
package processtest
