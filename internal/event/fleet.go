package event

import "github.com/sirupsen/logrus"

// Events of membership and targets.
var (
	NodeAlive               = declare(3001, "node-alive", logrus.InfoLevel, "a node joined or came back")
	NodeSuspected           = declare(3002, "node-suspected", logrus.WarnLevel, "a node does not answer; it may still refute the suspicion")
	NodeDead                = declare(3003, "node-dead", logrus.WarnLevel, "a node is dead; its targets are out of use")
	PeerLeaving             = declare(3004, "peer-leaving", logrus.InfoLevel, "another node is leaving")
	DuplicateNodeID         = alarm(3005, "duplicate-node-id", "another process uses this node's identifier")
	SyncFailed              = declare(3006, "sync-failed", logrus.WarnLevel, "a full-state exchange with a peer failed")
	MembershipOverBudget    = declare(3007, "membership-over-budget", logrus.WarnLevel, "membership did not send packets because its byte budget is used up")
	PacketsDropped          = declare(3008, "packets-dropped", logrus.WarnLevel, "unauthenticated or malformed packets were dropped")
	NodeRecordRefused       = declare(3009, "node-record-refused", logrus.WarnLevel, "the record of a registered node could not be read and was ignored")
	AnnouncementRefused     = declare(3106, "announcement-refused", logrus.WarnLevel, "a target's announcement is invalid and was refused")
	AnnouncementUnconfirmed = declare(3107, "announcement-unconfirmed", logrus.InfoLevel, "a target that may have left announces itself and could not be asked; it is not used yet")
	TargetAnnounced         = declare(3101, "target-announced", logrus.InfoLevel, "a target was announced")
	TargetDraining          = declare(3102, "target-draining", logrus.InfoLevel, "a target is draining")
	TargetGone              = declare(3103, "target-gone", logrus.InfoLevel, "a target was removed, expired or lost its node")
	TargetRejected          = declare(3104, "target-rejected", logrus.WarnLevel, "a target record or announcement was rejected")
	DuplicateTargetID       = alarm(3105, "duplicate-target-id", "two nodes announce the same target identifier")
)

// Events of the platform client.
var (
	PlatformUnavailable    = declare(6001, "platform-unavailable", logrus.WarnLevel, "the platform does not answer; the node continues with what is in force")
	PlatformBack           = declare(6002, "platform-back", logrus.InfoLevel, "the platform answers again")
	PlatformRateLimited    = declare(6003, "platform-rate-limited", logrus.WarnLevel, "the platform limits this node's calls")
	PlatformOverBudget     = declare(6004, "platform-over-budget", logrus.WarnLevel, "a platform call was not sent because the call budget is used up")
	PlatformWriteUncertain = declare(6005, "platform-write-uncertain", logrus.WarnLevel, "a platform write got no answer; reading the object back decides whether it took effect")
	PlatformRestored       = declare(6007, "platform-restored", logrus.WarnLevel, "the platform's store has come back from an older copy; what was written since is gone")
	PlatformRefused        = alarm(6006, "platform-refused", "the platform refuses this node's token or requests")
)
