package operation

import "time"

// Now is one reading of both clocks of a node.
//
// Leases are counted on the monotonic clock, which is never set. Creation
// times of keys, fences and receipt times come from other nodes and are
// compared with the wall clock; the Table uses the largest wall time that it
// has seen, so that a clock that is set back does not revive a key.
type Now struct {
	// Mono is the time since any fixed moment of this process.
	Mono time.Duration
	Wall time.Time
}

// Config holds the times and bounds of the protocol. All nodes of a fleet use
// the same values.
type Config struct {
	// Ranges is the number of key ranges of a service, 64 to 256.
	Ranges int
	// RetryWindow is how long a repeated key gets the first answer.
	RetryWindow time.Duration
	// Allowance is the largest difference between the wall clocks of two nodes.
	Allowance time.Duration
	// RenewEvery is the interval between two renewals of a lease.
	RenewEvery time.Duration
	// Promise is how long a standby promises not to take over, counted from
	// the receipt of a renewal.
	Promise time.Duration
	// Lease is how long an owner counts on a promise, from the moment it sent
	// the renewal. It is 10% shorter than Promise, which allows two monotonic
	// clocks to differ in rate by that much.
	Lease time.Duration
	// Margin is how long a standby waits beyond its promise.
	Margin time.Duration
	// StandbyLostAfter is how long a standby may leave renewals unanswered
	// before the owner replaces it: three renewals, well before the lease ends.
	StandbyLostAfter time.Duration
	// RebalanceDelay is how long the members must be unchanged before ranges
	// move only for the sake of even shares.
	RebalanceDelay time.Duration
	// HandOverWait is how long a handover waits for running operations.
	HandOverWait time.Duration
	// ReclaimAfter is how long a handed-over range may stay without a new
	// owner before the old one writes a new epoch and continues.
	ReclaimAfter time.Duration
	// PlatformRetry is the pause after a failed platform call.
	PlatformRetry time.Duration
	// MaxDelay is the largest age of a request, counted from its receipt by
	// the ingress, that may still run. Refusal records are kept this long.
	MaxDelay time.Duration
	// AnswerTime is how long a refusal may take on its way to the ingress and
	// still be told to the caller as NotRun.
	AnswerTime time.Duration
	// MaxAnswer is the largest answer in bytes that is kept for one key.
	MaxAnswer int
	// MaxAnswers bounds the bytes of all kept answers of one service.
	MaxAnswers int
	// MaxKeys bounds the records of one service. At about 250 bytes a record
	// the default is 16 MB when every record is in use.
	MaxKeys int
}

// DefaultConfig returns the values of the design page.
func DefaultConfig() Config {
	return Config{
		Ranges:           64,
		RetryWindow:      10 * time.Minute,
		Allowance:        500 * time.Millisecond,
		RenewEvery:       500 * time.Millisecond,
		Promise:          3 * time.Second,
		Lease:            2700 * time.Millisecond,
		Margin:           300 * time.Millisecond,
		StandbyLostAfter: 1500 * time.Millisecond,
		RebalanceDelay:   5 * time.Second,
		HandOverWait:     2 * time.Second,
		ReclaimAfter:     5 * time.Second,
		PlatformRetry:    time.Second,
		MaxDelay:         time.Minute,
		AnswerTime:       500 * time.Millisecond,
		MaxAnswer:        64 << 10,
		MaxAnswers:       32 << 20,
		MaxKeys:          1 << 16,
	}
}

// withDefaults replaces zero values by the defaults.
func (c Config) withDefaults() Config {
	d := DefaultConfig()
	for _, f := range []struct{ value, standard *time.Duration }{
		{&c.RetryWindow, &d.RetryWindow}, {&c.Allowance, &d.Allowance}, {&c.RenewEvery, &d.RenewEvery},
		{&c.Promise, &d.Promise}, {&c.Lease, &d.Lease}, {&c.Margin, &d.Margin},
		{&c.StandbyLostAfter, &d.StandbyLostAfter}, {&c.RebalanceDelay, &d.RebalanceDelay},
		{&c.HandOverWait, &d.HandOverWait}, {&c.ReclaimAfter, &d.ReclaimAfter},
		{&c.PlatformRetry, &d.PlatformRetry}, {&c.MaxDelay, &d.MaxDelay},
		{&c.AnswerTime, &d.AnswerTime},
	} {
		if *f.value == 0 {
			*f.value = *f.standard
		}
	}
	for _, f := range []struct{ value, standard *int }{
		{&c.Ranges, &d.Ranges}, {&c.MaxAnswer, &d.MaxAnswer}, {&c.MaxAnswers, &d.MaxAnswers}, {&c.MaxKeys, &d.MaxKeys},
	} {
		if *f.value == 0 {
			*f.value = *f.standard
		}
	}
	return c
}
