package health

import "siskinvale.dev/siskinvale/internal/event"

// Describe returns the log event of an action and its fields.
func Describe(a Action) (event.Event, event.Fields) {
	switch a := a.(type) {
	case Eject:
		return event.TargetEjected, event.Fields{"target": a.Target, "reason": a.Reason}
	case Readmit:
		return event.TargetReadmitted, event.Fields{"target": a.Target, "share": a.Share, "reason": a.Reason}
	case Avoid:
		return event.PathAvoided, event.Fields{"target": a.Target, "reason": a.Reason}
	case FloorReached:
		return event.FloorReached, event.Fields{"service": a.Service, "reason": a.Reason}
	default:
		d := a.(SourceDistrusted)
		return event.SourceDistrusted, event.Fields{"source": d.Source, "reason": d.Reason}
	}
}
