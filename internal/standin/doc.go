// Package standin holds the stand-ins that demo, tests and benchmarks run in
// place of outside systems: the platform's object store, the targets, and a
// forwarder that damages a network path. Every fault switch can be changed
// while the stand-in runs; docs/standin.md lists them.
package standin
