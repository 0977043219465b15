package operation

import "time"

// ClockReading is one reading of both clocks of a node.
//
// Leases are timed by the monotonic clock, which is never set. Creation times
// of keys, fence times and receipt times come from other nodes and are compared
// with the wall clock. The Table uses the largest wall time that it has seen,
// so that an expired key does not become valid again when the wall clock is set
// back.
type ClockReading struct {
	// Mono is the time since a fixed moment of this process.
	Mono time.Duration
	Wall time.Time
}

// Config holds the time limits and bounds of the protocol. All nodes of a fleet
// use the same values.
type Config struct {
	// Ranges is the number of key ranges of a service, 64 to 256.
	Ranges int
	// RetryWindow is how long a retry with the same key gets the first answer.
	RetryWindow time.Duration
	// MaxClockSkew is the largest difference that is assumed between the wall
	// clocks of two nodes.
	MaxClockSkew time.Duration
	// RenewInterval is the interval between two renewals of a lease.
	RenewInterval time.Duration
	// PromiseDuration is how long a standby promises not to take over, counted
	// from the receipt of a renewal.
	PromiseDuration time.Duration
	// LeaseDuration is how long an owner relies on a promise, from the moment
	// it sent the renewal. It is 10% shorter than PromiseDuration, which allows
	// the monotonic clocks of two nodes to differ in rate by that much.
	LeaseDuration time.Duration
	// TakeoverMargin is how long a standby waits after the end of its promise
	// before it takes over.
	TakeoverMargin time.Duration
	// StandbyLostAfter is how long a standby may leave renewals unanswered
	// before the owner replaces it: three renewals, well before the lease ends.
	StandbyLostAfter time.Duration
	// RebalanceDelay is how long the members must be unchanged before ranges
	// move only to even out the shares of the members.
	RebalanceDelay time.Duration
	// HandOverTimeout is how long a handover waits for running operations to
	// end.
	HandOverTimeout time.Duration
	// ReclaimAfter is how long a handed-over range may stay without a new owner
	// before the old owner writes a new epoch and serves the range again.
	ReclaimAfter time.Duration
	// PlatformRetryDelay is the pause after a failed platform call.
	PlatformRetryDelay time.Duration
	// MaxRequestAge is the largest age at which a request may still run,
	// counted from its receipt by the ingress. Refusal records are kept for at
	// least this time.
	MaxRequestAge time.Duration
	// MaxRefusalTransit is how long a refusal may take to reach the ingress and
	// still be reported to the caller as NotRun.
	MaxRefusalTransit time.Duration
	// MaxAnswerBytes is the size in bytes of the largest answer that is kept
	// for one key.
	MaxAnswerBytes int
	// MaxTotalAnswerBytes bounds the total size in bytes of the kept answers of
	// one service.
	MaxTotalAnswerBytes int
	// MaxRecords bounds the number of records of one service. At about 250
	// bytes a record, the default takes 16 MB when every record is in use.
	MaxRecords int
}

// DefaultConfig returns the values given on the design page.
func DefaultConfig() Config {
	return Config{
		Ranges:              64,
		RetryWindow:         10 * time.Minute,
		MaxClockSkew:        500 * time.Millisecond,
		RenewInterval:       500 * time.Millisecond,
		PromiseDuration:     3 * time.Second,
		LeaseDuration:       2700 * time.Millisecond,
		TakeoverMargin:      300 * time.Millisecond,
		StandbyLostAfter:    1500 * time.Millisecond,
		RebalanceDelay:      5 * time.Second,
		HandOverTimeout:     2 * time.Second,
		ReclaimAfter:        5 * time.Second,
		PlatformRetryDelay:  time.Second,
		MaxRequestAge:       time.Minute,
		MaxRefusalTransit:   500 * time.Millisecond,
		MaxAnswerBytes:      64 << 10,
		MaxTotalAnswerBytes: 32 << 20,
		MaxRecords:          1 << 16,
	}
}

// withDefaults replaces zero values with the defaults.
func (c Config) withDefaults() Config {
	d := DefaultConfig()
	for _, f := range []struct{ value, fallback *time.Duration }{
		{&c.RetryWindow, &d.RetryWindow}, {&c.MaxClockSkew, &d.MaxClockSkew}, {&c.RenewInterval, &d.RenewInterval},
		{&c.PromiseDuration, &d.PromiseDuration}, {&c.LeaseDuration, &d.LeaseDuration}, {&c.TakeoverMargin, &d.TakeoverMargin},
		{&c.StandbyLostAfter, &d.StandbyLostAfter}, {&c.RebalanceDelay, &d.RebalanceDelay},
		{&c.HandOverTimeout, &d.HandOverTimeout}, {&c.ReclaimAfter, &d.ReclaimAfter},
		{&c.PlatformRetryDelay, &d.PlatformRetryDelay}, {&c.MaxRequestAge, &d.MaxRequestAge},
		{&c.MaxRefusalTransit, &d.MaxRefusalTransit},
	} {
		if *f.value == 0 {
			*f.value = *f.fallback
		}
	}
	for _, f := range []struct{ value, fallback *int }{
		{&c.Ranges, &d.Ranges}, {&c.MaxAnswerBytes, &d.MaxAnswerBytes}, {&c.MaxTotalAnswerBytes, &d.MaxTotalAnswerBytes}, {&c.MaxRecords, &d.MaxRecords},
	} {
		if *f.value == 0 {
			*f.value = *f.fallback
		}
	}
	return c
}
