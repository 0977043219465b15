// Package operation executes keyed operations at most once (design page,
// section 4).
//
// The keys of a service are split into ranges. One platform object per service
// names the owner, the standby and the epoch of each range. The owner's Table
// decides how a request with a key is handled. Owner and Standby are the state
// machines of the lease protocol: an owner dispatches only while the standby of
// the range has promised not to take over. Manager runs a Table, an Owner and a
// Standby for each service of one node.
//
// Table, Owner and Standby are deterministic: the time is an argument, and they
// start no goroutine and do no I/O. They are not safe for concurrent use.
package operation
