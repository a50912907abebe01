package origin

import "time"

// Message is what entries send each other, as CBOR. Times are encoded as durations from now on, since the
// clocks of entries differ.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Streams are origins that the receiver keeps, also those that it asked for.
	Streams []wireStream
	// Questions are the keys of streams whose origins the sender asks for, and Unknown those that the
	// receiver asked for and the sender does not know.
	Questions [][]byte
	Unknown   [][]byte
}

// wireStream is an encoded record. ForMS is the time for which its caller may still resume the stream, in
// milliseconds.
type wireStream struct {
	_        struct{} `cbor:",toarray"`
	Key      []byte
	Service  string
	Software string
	ForMS    int64
}

func encodeStream(k Key, r record, now time.Time) wireStream {
	return wireStream{Key: k[:], Service: r.Service, Software: r.Software, ForMS: max(r.until.Sub(now).Milliseconds(), 0)}
}

// decode returns the record of a message; ok is false if it is invalid.
func (w wireStream) decode(now time.Time) (k Key, r record, ok bool) {
	k, ok = decodeKey(w.Key)
	if !ok || w.ForMS < 0 || len(w.Service) > maxNameBytes || len(w.Software) > maxNameBytes {
		return Key{}, record{}, false
	}
	kept := time.Duration(min(w.ForMS, maxKept.Milliseconds())) * time.Millisecond
	return k, record{Origin: Origin{Service: w.Service, Software: w.Software}, until: now.Add(kept)}, true
}

func decodeKey(b []byte) (k Key, ok bool) {
	if len(b) != len(k) {
		return Key{}, false
	}
	return Key(b), true
}

// Receive handles a message of another entry and ignores its invalid parts.
func (s *Set) Receive(from string, m Message) {
	answer := s.receive(from, m)
	if len(answer.Streams)+len(answer.Unknown) > 0 {
		s.peers.Send(from, answer)
	}
}

func (s *Set) receive(from string, m Message) (answer Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, w := range m.Streams[:min(len(m.Streams), maxStreams)] {
		if k, r, ok := w.decode(now); ok {
			s.store(k, r)
			s.answered(k)
		}
	}
	for _, b := range m.Unknown[:min(len(m.Unknown), maxStreams)] {
		if k, ok := decodeKey(b); ok {
			s.unknownAt(k, from)
		}
	}
	for _, b := range m.Questions[:min(len(m.Questions), maxStreams)] {
		k, ok := decodeKey(b)
		if !ok {
			continue
		}
		if r, known := s.records[k]; known {
			answer.Streams = append(answer.Streams, encodeStream(k, r, now))
		} else {
			answer.Unknown = append(answer.Unknown, k[:])
		}
	}
	return answer
}

// answered wakes those that wait for a stream. The caller must hold s.mu.
func (s *Set) answered(k Key) {
	q, ok := s.questions[k]
	if !ok {
		return
	}
	delete(s.questions, k)
	close(q.answered)
}

// unknownAt notes that an entry does not know a stream. The caller must hold s.mu.
func (s *Set) unknownAt(k Key, entry string) {
	q, ok := s.questions[k]
	if !ok {
		return
	}
	q.unknownAt[entry] = true
	select {
	case q.progress <- struct{}{}:
	default:
	}
}
