// Package processtest runs a fleet as real processes on loopback, for the
// demo, for process-level failure tests and for benchmarks.
//
// Each fleet uses a loopback network of its own (127.N.0.0/16) and each node an
// address of its own in it, so that ports are fixed and cannot collide. All
// processes get SIGKILL from the kernel when the process that started them
// ends, however it ends. Logs and settings are in a temporary directory that is
// removed with the fleet unless SISKINVALE_KEEP_LOGS is set.
package processtest
