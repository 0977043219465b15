package event

import "github.com/sirupsen/logrus"

// Events of keyed operations and their owned ranges.
var (
	RangesTakenOver   = declare(5001, "ranges-taken-over", logrus.WarnLevel, "ranges of a lost owner were taken over; their older keys are unknown")
	RangesReceived    = declare(5002, "ranges-received", logrus.InfoLevel, "ranges were taken over with their records")
	RangesReleased    = declare(5003, "ranges-released", logrus.InfoLevel, "ranges have a new owner")
	HandOverSent      = declare(5004, "handover-sent", logrus.InfoLevel, "the records of ranges were handed over to their standby")
	HandOverFailed    = declare(5005, "handover-failed", logrus.WarnLevel, "a handover was not accepted and will be tried again")
	RangesUnowned     = alarm(5006, "range-has-no-owner", "range has no owner: the owner and the standby of ranges are both lost")
	RangesOwnedAgain  = declare(5007, "ranges-owned-again", logrus.InfoLevel, "every range has an owner or a standby again")
	AssignmentInvalid = declare(5008, "assignment-invalid", logrus.ErrorLevel, "the assignment of a service cannot be read or written")
)
