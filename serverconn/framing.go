package serverconn

// Framing is how the end of a response is marked.
type Framing string

// Framings of responses.
const (
	// FramedByLength: the response has a Content-Length, or none of its kind has a body.
	FramedByLength Framing = "length"
	// FramedByChunks: the response ends with a last chunk.
	FramedByChunks Framing = "chunks"
	// Unframed: the response ends when its connection is closed. A server that breaks off closes
	// it as well, so the end says nothing about whether the response is complete.
	Unframed Framing = "close"
)
