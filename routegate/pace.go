package routegate

import "time"

// maxWriting is how long writing to a caller may take in all: a stream that its caller reads
// slowly says nothing of the server's pace.
const maxWriting = 50 * time.Millisecond

// streamPace is how the events of one exchange arrived. writing is how long writing to the caller took
// in all, also of an answer that is no stream.
type streamPace struct {
	last    time.Time
	pause   time.Duration
	writing time.Duration
}

// arrived records events that arrived.
func (p *streamPace) arrived(now time.Time) {
	if !p.last.IsZero() {
		p.pause = max(p.pause, now.Sub(p.last))
	}
	p.last = now
}

// written records that a part of the answer was passed on to the caller.
func (p *streamPace) written(from, now time.Time) {
	p.writing += now.Sub(from)
	p.last = now
}

// recordEnd records how a complete stream of a server ran.
func (x *exchange) recordEnd() {
	if x.pick == nil || x.pace.writing > maxWriting {
		return
	}
	x.pick.Ended(x.firstAfter, time.Since(x.sentAt), x.pace.pause, x.call.splitter.Events()-x.eventsBefore)
}
