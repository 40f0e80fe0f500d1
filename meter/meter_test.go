package meter

import "testing"

func TestBytesByKind(t *testing.T) {
	m := New()
	m.CountCall("/v1/beat", 600, 200)
	m.CountCall("/v1/beat", 600, 1500)
	m.CountCall("/raft/messages", 80, 0)
	m.Count("requests.ok")
	const want = "bytes.received.beat=1700 bytes.received.raft.messages=0 bytes.sent.beat=1200 bytes.sent.raft.messages=80"
	if got := m.BytesByKind(); got != want {
		t.Errorf("got %s\nwant %s", got, want)
	}
}
