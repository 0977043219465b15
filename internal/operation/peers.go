package operation

import (
	"context"
	"time"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
)

// sendRenewals renews the leases of several services at one standby.
func (m *Manager) sendRenewals(ctx context.Context, to fleet.NodeID, renewals []*controlv1.LeaseRenewal) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	answer, err := m.peers.RenewLease(ctx, to, &controlv1.RenewLeaseRequest{
		Owner: string(m.self), OwnerIncarnation: m.incarnation, Renewals: renewals,
	})
	if err != nil {
		return // the owner state machine notices missing answers by itself
	}
	for _, g := range answer.GetGrants() {
		m.step(m.service(g.GetService()), GrantReceived{
			From: to, Sequence: g.GetSequence(), Granted: g.GetGranted(), CurrentEpoch: fleet.Epoch(g.GetCurrentEpoch()),
		})
	}
}

// ServeRenewLease handles a RenewLease call of a peer.
func (m *Manager) ServeRenewLease(_ context.Context, req *controlv1.RenewLeaseRequest) (*controlv1.RenewLeaseResponse, error) {
	answer := &controlv1.RenewLeaseResponse{}
	for _, r := range req.GetRenewals() {
		s := m.service(r.GetService())
		grant := &controlv1.LeaseGrant{Service: r.GetService(), Epoch: r.GetEpoch(), Sequence: r.GetSequence()}
		for _, a := range m.apply(s, RenewReceived{
			From: fleet.NodeID(req.GetOwner()), Incarnation: req.GetOwnerIncarnation(),
			Epoch: fleet.Epoch(r.GetEpoch()), Sequence: r.GetSequence(),
		}) {
			if g, ok := a.(SendGrant); ok {
				grant.Granted, grant.CurrentEpoch = g.Granted, uint64(g.CurrentEpoch)
				continue
			}
			m.performAction(s, a)
		}
		answer.Grants = append(answer.Grants, grant)
	}
	return answer, nil
}

// prepareHandOver encodes the messages of a handover once; when the handover is
// sent again, the same messages are used. The caller must hold s.mu.
func (m *Manager) prepareHandOver(s *service, a SendHandOver) {
	if prepared := s.outgoing[a.To]; prepared != nil && prepared.epoch == a.Epoch {
		return
	}
	s.outgoing[a.To] = &handOverMessages{epoch: a.Epoch, messages: m.encodeHandOver(s, a)}
}

func (m *Manager) encodeHandOver(s *service, a SendHandOver) []*controlv1.HandOverRequest {
	next := func() *controlv1.HandOverRequest {
		req := &controlv1.HandOverRequest{
			Service: s.name, Epoch: uint64(a.Epoch), Owner: string(m.self), OwnerIncarnation: m.incarnation,
		}
		for _, i := range a.Indexes {
			req.Ranges = append(req.Ranges, uint32(i))
		}
		return req
	}
	messages := []*controlv1.HandOverRequest{next()}
	size := 0
	for _, r := range s.table.Snapshot(a.Indexes) {
		last := messages[len(messages)-1]
		if size += r.Answer.size(); size > maxHandOverAnswerBytes || len(last.Records) >= maxHandOverRecords {
			last = next()
			messages = append(messages, last)
			size = r.Answer.size()
		}
		last.Records = append(last.Records, encodeRecord(r))
	}
	messages[len(messages)-1].Last = true
	return messages
}

func (m *Manager) sendHandOver(ctx context.Context, s *service, a SendHandOver) {
	s.mu.Lock()
	prepared := s.outgoing[a.To]
	s.mu.Unlock()
	done := HandOverDone{To: a.To, Epoch: a.Epoch}
	if prepared != nil && prepared.epoch == a.Epoch {
		done.Accepted, done.Refused = m.sendHandOverMessages(ctx, s, a, prepared.messages)
	}
	m.step(s, done)
}

func (m *Manager) sendHandOverMessages(ctx context.Context, s *service, a SendHandOver, messages []*controlv1.HandOverRequest) (accepted, refused bool) {
	for _, req := range messages {
		ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
		answer, err := m.peers.HandOver(ctx, a.To, req)
		cancel()
		reason := answer.GetReason()
		if err != nil {
			reason = err.Error()
		}
		if err != nil || !answer.GetAccepted() {
			m.log.Log(event.HandoverFailed, event.Fields{"service": s.name, "to": a.To, "reason": reason})
			return false, err == nil
		}
	}
	m.log.Log(event.HandoverSent, event.Fields{"service": s.name, "to": a.To, "ranges": len(a.Indexes)})
	return true, false
}

// ServeHandOver handles a HandOver call of a peer.
func (m *Manager) ServeHandOver(_ context.Context, req *controlv1.HandOverRequest) (*controlv1.HandOverResponse, error) {
	s := m.service(req.GetService())
	ev := HandOverReceived{
		From: fleet.NodeID(req.GetOwner()), Incarnation: req.GetOwnerIncarnation(),
		Epoch: fleet.Epoch(req.GetEpoch()), Last: req.GetLast(),
	}
	for _, i := range req.GetRanges() {
		ev.Indexes = append(ev.Indexes, int(i))
	}
	for _, r := range req.GetRecords() {
		ev.Records = append(ev.Records, decodeRecord(r))
	}
	answer := &controlv1.HandOverResponse{Reason: "not a member of the service"}
	for _, a := range m.apply(s, ev) {
		if h, ok := a.(AnswerHandOver); ok {
			answer.Accepted, answer.Reason = h.Accepted, h.Reason
			continue
		}
		m.performAction(s, a)
	}
	return answer, nil
}

func encodeRecord(r Record) *controlv1.OperationRecord {
	return &controlv1.OperationRecord{
		Tenant: r.Tenant, Key: r.Value, Fingerprint: r.Fingerprint, State: r.State, AtUnixMs: r.ChangedAt.UnixMilli(),
		Status: int32(r.Answer.Status), Header: r.Answer.Header, Body: r.Answer.Body, BodyHeld: r.AnswerHeld,
	}
}

func decodeRecord(r *controlv1.OperationRecord) Record {
	return Record{
		Tenant: r.GetTenant(), Value: r.GetKey(), Fingerprint: r.GetFingerprint(), State: r.GetState(),
		// Rounded up to a whole millisecond: a refusal must not move to an
		// earlier time.
		ChangedAt:  time.UnixMilli(r.GetAtUnixMs() + 1),
		AnswerHeld: r.GetBodyHeld(),
		Answer:     Answer{Status: int(r.GetStatus()), Header: r.GetHeader(), Body: r.GetBody()},
	}
}

func (m *Manager) logTakeover(s *service, t RangesTaken) {
	e := event.RangesTakenOver
	if t.Graceful {
		e = event.RangesReceived
	}
	m.log.Log(e, event.Fields{"service": s.name, "from": t.From, "ranges": len(t.Indexes), "records": len(t.Records)})
}

func (m *Manager) logUnowned(s *service, u UnownedRanges) {
	if len(u.Indexes) == 0 {
		m.log.Log(event.RangesOwnedAgain, event.Fields{"service": s.name})
		return
	}
	m.log.Log(event.RangeHasNoOwner, event.Fields{"service": s.name, "ranges": len(u.Indexes), "first": u.Indexes[0]})
}
