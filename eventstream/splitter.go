// Package eventstream cuts a text/event-stream into whole events and remembers
// the id of the last one, so that a broken stream can be resumed after it.
package eventstream

import "bytes"

// mostPending bounds an event that does not end.
const mostPending = 1 << 20

// Splitter gathers bytes until events are whole.
type Splitter struct {
	pending []byte
	last    string
	events  int
}

// Feed adds bytes and returns the whole events among what is there, byte for
// byte. The result is valid until the next call. ok is false when an event is
// too long.
func (s *Splitter) Feed(p []byte) (whole []byte, ok bool) {
	s.pending = append(s.pending, p...)
	end := lastEnd(s.pending)
	if end == 0 {
		return nil, len(s.pending) <= mostPending
	}
	whole = s.pending[:end:end]
	s.note(whole)
	s.pending = append([]byte(nil), s.pending[end:]...)
	return whole, true
}

// lastEnd returns where the last whole event ends, 0 if there is none.
func lastEnd(p []byte) int {
	end := 0
	if at := bytes.LastIndex(p, []byte("\n\n")); at >= 0 {
		end = at + 2
	}
	if at := bytes.LastIndex(p, []byte("\r\n\r\n")); at >= 0 {
		end = max(end, at+4)
	}
	return end
}

func (s *Splitter) note(whole []byte) {
	inEvent := false
	for line := range bytes.SplitSeq(whole, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			if inEvent {
				s.events++
			}
			inEvent = false
			continue
		}
		inEvent = true
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.last = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}

// Rest returns the bytes after the last whole event and forgets them.
func (s *Splitter) Rest() []byte {
	rest := s.pending
	s.pending = nil
	return rest
}

// LastID returns the id of the last whole event; empty if none had one.
func (s *Splitter) LastID() string { return s.last }

// Events returns the number of whole events.
func (s *Splitter) Events() int { return s.events }
