package event

import "github.com/sirupsen/logrus"

// Events of the rollout on one node; those of bundles are in bundle.go.
var (
	RolloutReady         = declare(2200, "rollout-ready", logrus.InfoLevel, "the newest known bundle version is in force; the node may serve callers")
	RolloutReaderChanged = declare(2201, "rollout-reader-changed", logrus.InfoLevel, "the node began or ceased to read bundles from the platform")
)

// Events of membership and targets.
var (
	NodeAlive           = declare(3001, "node-alive", logrus.InfoLevel, "a node joined or came back")
	NodeSuspected       = declare(3002, "node-suspected", logrus.WarnLevel, "a node does not answer; it may still refute")
	NodeDead            = declare(3003, "node-dead", logrus.WarnLevel, "a node is out of use")
	NodeIsLeaving       = declare(3004, "peer-leaving", logrus.InfoLevel, "another node is leaving")
	SyncFailed          = declare(3005, "sync-failed", logrus.WarnLevel, "a full-state exchange with a peer failed")
	MembershipOverspent = declare(3006, "membership-over-budget", logrus.WarnLevel, "membership left out packets because its byte budget is used up")
	PacketsDropped      = declare(3007, "packets-dropped", logrus.WarnLevel, "unauthenticated or malformed packets were dropped")
	TargetAnnounced     = declare(3101, "target-announced", logrus.InfoLevel, "a target was announced")
	TargetDraining      = declare(3102, "target-draining", logrus.InfoLevel, "a target is draining")
	TargetGone          = declare(3103, "target-gone", logrus.InfoLevel, "a target was removed, expired or lost its node")
	TargetRejected      = declare(3104, "target-rejected", logrus.WarnLevel, "a target record or announcement was rejected")
	DuplicateTargetID   = alarm(3105, "duplicate-target-id", "two nodes announce the same target identifier")
)

// Events of the platform client.
var (
	PlatformUnavailable = declare(6001, "platform-unavailable", logrus.WarnLevel, "the platform does not answer; everything in force stays in force")
	PlatformBack        = declare(6002, "platform-back", logrus.InfoLevel, "the platform answers again")
	PlatformLimited     = declare(6003, "platform-rate-limited", logrus.WarnLevel, "the platform limits this node's calls")
	PlatformOverBudget  = declare(6004, "platform-over-budget", logrus.WarnLevel, "a platform call was not sent because the call budget is used up")
	PlatformUncertain   = declare(6005, "platform-write-uncertain", logrus.WarnLevel, "no answer came to a platform write; it is settled by reading back")
	PlatformRefused     = alarm(6006, "platform-refused", "the platform refuses this node's token or requests")
)
