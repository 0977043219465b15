// Package standin implements the stand-ins that the demo, the tests and the
// benchmarks run in place of outside systems: the platform's object store,
// targets, and a TCP and UDP forwarder that injects network faults. All fault
// switches can be changed while a stand-in runs; docs/standin.md lists them.
package standin
