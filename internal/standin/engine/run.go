package engine

import "time"

// maxCatchUp limits how far the engine runs ahead of its step durations to make
// up for late wake-ups.
const maxCatchUp = 20 * time.Millisecond

// run executes the model's steps in real time until Close.
func (s *Server) run() {
	defer close(s.stopped)
	due := time.Now()
	for {
		duration, busy := s.planStep()
		if !busy {
			if !s.waitForWork() {
				return
			}
			due = time.Now()
			continue
		}
		due = nextDue(due, time.Now(), duration)
		if !s.sleepUntil(due) {
			return
		}
		s.step(time.Now())
	}
}

// nextDue returns the end of a step that starts when the previous one was due.
func nextDue(due, now time.Time, duration time.Duration) time.Time {
	if earliest := now.Add(-maxCatchUp); due.Before(earliest) {
		due = earliest
	}
	return due.Add(duration)
}

// planStep returns the duration of the next step, and false if the model is
// idle.
func (s *Server) planStep() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.model.Idle() {
		return 0, false
	}
	duration := float64(s.model.StepDuration()) * s.injector.SlowFactor()
	s.recordLoad()
	return time.Duration(duration), true
}

func (s *Server) step(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.model.Step()
	for _, token := range result.Tokens {
		st := s.streams[token.ID]
		st.generated = token.Index + 1
		st.wake()
	}
	for _, finished := range result.Finished {
		s.finishStream(finished, now)
	}
	s.publish(now)
}

// finishStream ends a stream and its ledger entry.
func (s *Server) finishStream(finished Finished, now time.Time) {
	st := s.streams[finished.ID]
	st.finished = &finished
	st.endedAt = now
	s.ended = append(s.ended, st)
	st.wake()
	tokens := int64(finished.CompletionTokens)
	if finished.Reason == FinishCancelled {
		s.ledger.Cancel(st.sequence, tokens)
		return
	}
	s.ledger.Finish(st.sequence, tokens)
}

// publish records the model's new state for the lagging reports.
func (s *Server) publish(now time.Time) {
	s.cacheEvents.add(now, s.model.DrainCacheEvents())
	s.recordLoad()
}

// signal wakes run.
func (s *Server) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// waitForWork waits until there may be work. It returns false at Close.
func (s *Server) waitForWork() bool {
	select {
	case <-s.wake:
		return true
	case <-s.closing:
		return false
	}
}

// sleepUntil waits until due. It returns false at Close.
func (s *Server) sleepUntil(due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.closing:
		return false
	}
}
