package operation

import "context"

// Do runs the operation of a request at most once. Do calls run when the
// operation must run now. run must call mayDispatch immediately before it hands
// the operation to a target, and must return NotDispatched when mayDispatch
// reports false. If the operation is already running for another request, Do
// waits for the end of that run or of ctx.
func (m *Manager) Do(ctx context.Context, r Request, run func(ctx context.Context, mayDispatch func() bool) (Answer, ExecutionResult)) (Answer, Verdict) {
	s := m.service(r.Key.Service)
	for {
		v, done := m.submit(s, r)
		switch v.Kind {
		case Run:
			r.Run = v.Run
			return m.run(ctx, s, r, v, run)
		case Wait:
			select {
			case <-done:
			case <-ctx.Done():
				return Answer{}, Verdict{Kind: Unknown, Reason: ReasonDeadline, Epoch: v.Epoch}
			}
		default:
			return v.Answer, v
		}
	}
}

func (m *Manager) submit(s *service, r Request) (Verdict, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return Verdict{Kind: NotOwner, Reason: ReasonNoLease}, nil
	}
	v := s.table.Submit(m.clock.Now(), r)
	if v.Kind != Wait {
		return v, nil
	}
	k := recordKey{r.Key.Tenant, r.Key.Value}
	if s.waiters[k] == nil {
		s.waiters[k] = make(chan struct{})
	}
	return v, s.waiters[k]
}

func (m *Manager) run(ctx context.Context, s *service, r Request, v Verdict, run func(context.Context, func() bool) (Answer, ExecutionResult)) (a Answer, _ Verdict) {
	result := Failed
	finished := false
	defer func() {
		if !finished { // run panicked
			m.finish(s, r, Answer{}, Failed, v)
		}
	}()
	a, result = run(ctx, func() bool { return m.mayDispatch(s, r) })
	finished = true
	return a, m.finish(s, r, a, result, v)
}

func (m *Manager) mayDispatch(s *service, r Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.MayDispatch(m.clock.Now(), r)
}

func (m *Manager) finish(s *service, r Request, a Answer, result ExecutionResult, v Verdict) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch result {
	case Answered:
		s.table.Complete(m.clock.Now(), r, a)
	case NotDispatched:
		v = s.table.Abandon(m.clock.Now(), r)
	default:
		v = s.table.Fail(m.clock.Now(), r)
	}
	k := recordKey{r.Key.Tenant, r.Key.Value}
	if done := s.waiters[k]; done != nil {
		close(done)
		delete(s.waiters, k)
	}
	return v
}
