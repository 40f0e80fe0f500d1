package replica

import (
	"strings"
	"sync"
	"testing"

	"github.com/go-logr/logr/funcr"

	"wheelgauge/raft"
)

// logLines collects log lines.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

func (l *logLines) add(_, args string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, args)
}

// find returns the first line that contains all parts, or an empty string.
func (l *logLines) find(parts ...string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
next:
	for _, line := range l.lines {
		for _, part := range parts {
			if !strings.Contains(line, part) {
				continue next
			}
		}
		return line
	}
	return ""
}

func TestStoreWithoutALeaderTellsWhy(t *testing.T) {
	all := []string{"127.0.82.1:7801", "127.0.82.2:7801", "127.0.82.3:7801"}
	g := &group{t: t, seeds: all, nodes: map[string]*node{}}
	defer g.stopAll()
	lines := &logLines{}
	g.editOptions = func(o *Options) { o.Log = funcr.New(lines.add, funcr.Options{}) }
	for _, a := range all {
		g.start(a, t.TempDir(), true)
	}
	g.waitFor("three voters", func() bool { return g.voters() == 3 })
	last := g.nodes[all[2]]
	g.stop(g.nodes[all[0]])
	g.stop(g.nodes[all[1]])
	g.waitFor("the line of the store that is left", func() bool {
		return lines.find("No leader is known.", `"voter"=true`, `"writable"=true`, all[0], "voter heard=", "ballot=none") != ""
	})
	s := last.replica.Status()
	if s.Leaderless == nil || s.Leaderless.ForMS == 0 || len(s.Leaderless.Contacts) != 2 || s.Leaderless.LastIndex == 0 {
		t.Errorf("got status %+v, want why there is no leader", s)
	}
	g.start(all[0], t.TempDir(), false) // blank: no quorum yet
	g.waitFor("the start of a blank store", func() bool { return lines.find("Replica started.", `"blank"=true`) != "" })
}

func TestStoreOnACopiedDiskWithoutALeaderSaysSo(t *testing.T) {
	all := []string{"127.0.82.1:7802", "127.0.82.2:7802", "127.0.82.3:7802"}
	g := &group{t: t, seeds: all, nodes: map[string]*node{}}
	defer g.stopAll()
	for _, a := range all {
		g.start(a, t.TempDir(), true)
	}
	g.waitFor("three voters", func() bool { return g.voters() == 3 })
	dir := g.nodes[all[0]].dir
	g.stopAll()
	lines := &logLines{}
	g.editOptions = func(o *Options) { o.Log = funcr.New(lines.add, funcr.Options{}) }
	g.start(all[0], copyOf(t, dir), false)
	g.waitFor("the line of the store", func() bool { return lines.find("No leader is known.", `"unverified"=true`) != "" })
}

func TestVotesOfCopiedDisksAreToldApart(t *testing.T) {
	contacts := []raft.Contact{
		{Member: raft.Member{ID: 7, Name: "a", Voter: true}, Ballot: raft.BallotGranted, Unverified: true},
		{Member: raft.Member{ID: 8, Name: "b", Voter: true}, Ballot: raft.BallotGranted},
	}
	want := "a 7 voter heard=never ballot=granted unverified; b 8 voter heard=never ballot=granted"
	if got := (&Replica{}).describeContacts(contacts); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
