package event

import "github.com/sirupsen/logrus"

// Events of health and routing.
var (
	TargetEjected     = declare(4001, "target-ejected", logrus.WarnLevel, "target ejected from traffic")
	TargetReadmitted  = declare(4002, "target-readmitted", logrus.InfoLevel, "target receives a share of its traffic again")
	FloorReached      = alarm(4003, "floor-reached", "unhealthy targets go on serving because the service is at its floor")
	PathAvoided       = declare(4004, "path-avoided", logrus.WarnLevel, "target is avoided by this node because the path to it fails")
	StandingLost      = declare(4007, "standing-lost", logrus.WarnLevel, "a target failed and lost its good standing; requests that may run only once go to other targets")
	StandingRegained  = declare(4008, "standing-regained", logrus.InfoLevel, "a target is in good standing again")
	RateLimitChanged  = declare(4009, "rate-limit-changed", logrus.InfoLevel, "a target states another limit of requests per second than before")
	TargetOverLimit   = declare(4010, "target-over-limit", logrus.WarnLevel, "a target got more requests than the limit that it states")
	NoticeMalformed   = declare(4011, "notice-malformed", logrus.WarnLevel, "a target's statement about itself cannot be read; the previous one stays in force")
	TargetSaysLeaving = declare(4012, "target-says-leaving", logrus.InfoLevel, "a target states in its answers that it is about to stop")
	SourceDistrusted  = declare(4005, "source-distrusted", logrus.WarnLevel, "reports of a node are ignored because it reports most targets as unhealthy")
)

// Events of single requests.
var (
	RequestRefused     = declare(5201, "request-refused", logrus.InfoLevel, "a request got no answer from a target")
	AttemptEnded       = declare(5202, "attempt-ended", logrus.InfoLevel, "an attempt ended without the final answer")
	RequestFailed      = declare(5206, "request-failed", logrus.InfoLevel, "a request was answered with a failure status of the target")
	RequestServed      = declare(5207, "request-served", logrus.InfoLevel, "a request was answered by a target")
	ClassOriginLearned = declare(5208, "class-origin-learned", logrus.InfoLevel, "the node has determined whether the requests of a class are calls of local targets")
	CallRefused        = declare(5203, "call-refused", logrus.InfoLevel, "a sidecar refused a call; the call was not run")
	QuotaRejected      = declare(5209, "quota-rejected", logrus.InfoLevel, "a request was rejected because of its organisation's quota")
	HedgeSent          = declare(5220, "hedge-sent", logrus.InfoLevel, "a second copy of a slow request was sent to another target")
	HedgeWithheld      = declare(5221, "hedge-withheld", logrus.DebugLevel, "a second copy of a slow request was due but not sent")
	HedgeEnded         = declare(5222, "hedge-ended", logrus.InfoLevel, "a second copy of a slow request ended")
	CallFailed         = declare(5204, "call-failed", logrus.InfoLevel, "a call failed at the target")
)
