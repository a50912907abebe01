package fleet

import "time"

// Restore takes over all records that there are after the store came back from an older copy of
// itself. They may be older than what is known:
//
//   - what an upstream said itself holds, and one whose row was gone stays gone, until its row is
//     written again or a later whole table still has it;
//   - of two starts the one that was born later holds, since versions of before say nothing of
//     those after, until the next word of the store on it;
//   - one that is missing has until settled to write its row again.
func (s *Set) Restore(records []Record, unreadable []string, settled time.Time) {
	s.mu.Lock()
	s.restored = true
	for _, m := range s.byID {
		m.Version, m.unwritten = 0, true
	}
	s.mu.Unlock()
	s.update(records, unreadable, nil, true, settled)
	s.mu.Lock()
	s.restored = false
	s.mu.Unlock()
}
