package event

import "github.com/sirupsen/logrus"

// Events of keyed operations and their owned ranges.
var (
	RangesTakenOver   = declare(5001, "ranges-taken-over", logrus.WarnLevel, "ranges of a lost owner were taken over; whether their older keys have run is unknown")
	RangesReceived    = declare(5002, "ranges-received", logrus.InfoLevel, "ranges were received with their records from their previous owner")
	RangesReleased    = declare(5003, "ranges-released", logrus.InfoLevel, "ranges were released because they have a new owner")
	HandoverSent      = declare(5004, "handover-sent", logrus.InfoLevel, "the records of ranges were handed over to their standby")
	HandoverFailed    = declare(5005, "handover-failed", logrus.WarnLevel, "a handover was not accepted and will be retried")
	RangeHasNoOwner   = alarm(5006, "range-has-no-owner", "range has no owner: its owner and its standby are both lost")
	RangesOwnedAgain  = declare(5007, "ranges-owned-again", logrus.InfoLevel, "every range has an owner or a standby again")
	AssignmentInvalid = declare(5008, "assignment-invalid", logrus.ErrorLevel, "the assignment of a service cannot be read or written")
)
