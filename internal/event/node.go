package event

import "github.com/sirupsen/logrus"

// Events of the node's lifecycle.
var (
	NodeStarted        = declare(1001, "node-started", logrus.InfoLevel, "node started")
	NodeReady          = declare(1002, "node-ready", logrus.InfoLevel, "node is ready for callers")
	NodeLeaving        = declare(1003, "node-leaving", logrus.InfoLevel, "node is leaving; new work is refused")
	NodeStopped        = declare(1004, "node-stopped", logrus.InfoLevel, "node stopped")
	DrainTimedOut      = alarm(1005, "drain-timed-out", "requests still in flight were cut off after the longest drain wait")
	SettingsRead       = declare(1006, "settings-read", logrus.InfoLevel, "settings were reloaded")
	SettingsRefused    = declare(1007, "settings-refused", logrus.ErrorLevel, "settings could not be reloaded; the previous ones stay in force")
	HandoverIncomplete = declare(1010, "handover-incomplete", logrus.WarnLevel, "key ranges were not handed over before the node stopped; their standbys will take over")
	MessageRefused     = declare(1011, "message-refused", logrus.WarnLevel, "a message from a peer was refused")
	ListenerFailed     = declare(1008, "listener-failed", logrus.ErrorLevel, "a listener failed")
	AuthRefused        = declare(1009, "auth-refused", logrus.WarnLevel, "a peer or operator without valid credentials was refused")
)

// Events of single requests.
var (
	AnswerCut = declare(5101, "answer-cut", logrus.WarnLevel, "an answer was cut short after its first byte; the caller's connection was aborted")
)
