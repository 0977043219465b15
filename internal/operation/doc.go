// Package operation executes keyed operations at most once (design page,
// section 4).
//
// The keys of a service are split into ranges. One platform object per service
// names the owner, the standby and the epoch of each range. Table decides on
// the owner's side what happens to a request with a key. Owner and Standby are
// the lease machines: an owner dispatches only while the standby of the range
// has promised not to take over. Manager drives all three for one node.
//
// Table, Owner and Standby are pure: the time is an argument, and they start
// no goroutine and do no I/O. They are not safe for concurrent use.
package operation
