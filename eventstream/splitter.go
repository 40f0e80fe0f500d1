// Package eventstream splits a text/event-stream into complete events and records
// the ID of the last one, so that a broken stream can be resumed after it.
package eventstream

import "bytes"

// maxPendingBytes bounds an incomplete event.
const maxPendingBytes = 1 << 20

// Splitter buffers bytes until events are complete.
type Splitter struct {
	pending []byte
	lastID  string
	events  int
}

// Feed adds bytes and returns the complete events received so far, unchanged.
// The result is valid until the next call. ok is false if an event is longer than
// maxPendingBytes.
func (s *Splitter) Feed(p []byte) (complete []byte, ok bool) {
	s.pending = append(s.pending, p...)
	end := lastEventEnd(s.pending)
	if end == 0 {
		return nil, len(s.pending) <= maxPendingBytes
	}
	complete = s.pending[:end:end]
	s.record(complete)
	s.pending = append([]byte(nil), s.pending[end:]...)
	return complete, true
}

// blankLines are the ends of an event: an empty line after a line that ends with LF, CRLF or CR.
var blankLines = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

// lastEventEnd returns the offset after the last complete event, 0 if there is none.
func lastEventEnd(p []byte) int {
	end := 0
	for _, blank := range blankLines {
		if at := bytes.LastIndex(p, blank); at >= 0 {
			end = max(end, at+len(blank))
		}
	}
	return end
}

func (s *Splitter) record(complete []byte) {
	newline := []byte("\n")
	if !bytes.Contains(complete, newline) {
		newline = []byte("\r")
	}
	inEvent := false
	for line := range bytes.SplitSeq(complete, newline) {
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
			s.lastID = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}

// InsideEvent reports whether a part of an event follows the last complete one. A stream that
// ends there has been broken off.
func (s *Splitter) InsideEvent() bool { return len(bytes.Trim(s.pending, "\r\n")) > 0 }

// TakePending returns the bytes after the last complete event and clears them.
func (s *Splitter) TakePending() []byte {
	rest := s.pending
	s.pending = nil
	return rest
}

// LastID returns the last ID among the complete events, empty if none had one.
func (s *Splitter) LastID() string { return s.lastID }

// Events returns the number of complete events.
func (s *Splitter) Events() int { return s.events }
