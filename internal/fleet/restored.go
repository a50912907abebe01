package fleet

import "time"

// ApplyRestored applies the complete table after the store was restored from a backup. Its records may be
// older than what is known:
//
//   - A leave that an upstream reported itself stays final. An upstream whose row was removed stays
//     removed until its row is written again or a later complete table still has it.
//   - Of two incarnations the one that began later is kept, since versions from before the restore
//     cannot be compared with later ones. The next row that is read overrides this.
//   - An upstream that is missing has until graceUntil to write its row again.
func (s *Set) ApplyRestored(records []Record, unreadable []string, graceUntil time.Time) {
	s.mu.Lock()
	s.restoring = true
	for _, m := range s.byID {
		m.Version, m.predatesRestore = 0, true
	}
	s.mu.Unlock()
	s.update(records, unreadable, nil, true, graceUntil)
	s.mu.Lock()
	s.restoring = false
	s.mu.Unlock()
}
