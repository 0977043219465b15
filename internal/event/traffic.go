package event

import "github.com/sirupsen/logrus"

// Events of health and routing.
var (
	TargetEjected    = declare(4001, "target-ejected", logrus.WarnLevel, "target ejected from traffic")
	TargetReadmitted = declare(4002, "target-readmitted", logrus.InfoLevel, "target receives a share of its traffic again")
	FloorReached     = alarm(4003, "floor-reached", "unhealthy targets go on serving because the service is at its floor")
	PathAvoided      = declare(4004, "path-avoided", logrus.WarnLevel, "target avoided by this node because of the path to it")
	StandingLost     = declare(4007, "standing-lost", logrus.WarnLevel, "a target failed; work that may run only once goes elsewhere")
	StandingRegained = declare(4008, "standing-regained", logrus.InfoLevel, "a target is in good standing again")
	SourceDistrusted = declare(4005, "source-distrusted", logrus.WarnLevel, "reports of a node are not used because it reports most targets as unhealthy")
)

// Events of single requests.
var (
	RequestRefused     = declare(5201, "request-refused", logrus.InfoLevel, "a request got no answer of a target")
	AttemptEnded       = declare(5202, "attempt-ended", logrus.InfoLevel, "an attempt ended without the final answer")
	RequestFailed      = declare(5206, "request-failed", logrus.InfoLevel, "a request got a target's own failure as its answer")
	RequestServed      = declare(5207, "request-served", logrus.InfoLevel, "a request got the answer of a target")
	ClassOriginLearned = declare(5208, "class-origin-learned", logrus.InfoLevel, "it became known whether the requests of a class are calls of local targets")
	CallRefused        = declare(5203, "call-refused", logrus.InfoLevel, "a sidecar refused a call; it was not run")
	CallFailed         = declare(5204, "call-failed", logrus.InfoLevel, "a call failed at the target")
)
