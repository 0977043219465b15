package event

import "github.com/sirupsen/logrus"

// Events of health and routing.
var (
	TargetEjected    = declare(4001, "target-ejected", logrus.WarnLevel, "target ejected from traffic")
	TargetReadmitted = declare(4002, "target-readmitted", logrus.InfoLevel, "target receives a share of its traffic again")
	FloorReached     = alarm(4003, "floor-reached", "unhealthy targets go on serving because the service is at its floor")
	PathAvoided      = declare(4004, "path-avoided", logrus.WarnLevel, "target avoided by this node because of the path to it")
	SourceDistrusted = declare(4005, "source-distrusted", logrus.WarnLevel, "reports of a node are not used because it reports most targets as unhealthy")
)
