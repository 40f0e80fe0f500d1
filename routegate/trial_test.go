package routegate

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"wheelgauge"
)

// grantTrial quarantines a request and grants its first trial to a host.
func grantTrial(g *Gate, path, host string) {
	var crashes []wheelgauge.Crash
	for n := range 3 {
		crashes = append(crashes, wheelgauge.Crash{Fingerprint: requestFingerprint(path), Server: strconv.Itoa(n)})
	}
	crashes = append(crashes, wheelgauge.Crash{Fingerprint: requestFingerprint(path), Server: "trial/1", Trial: host})
	g.options.Quarantine.SetTrialHost("g")
	g.options.Quarantine.SetPersisted(crashes)
}

// statusesOf returns the statuses of answers to the same request, each sent when the one before is
// over.
func statusesOf(t *testing.T, g *Gate, c net.Conn, path, headers string, times int) []int {
	t.Helper()
	var out []int
	for range times {
		resp, _, err := get(t, c, path, headers)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, resp.StatusCode)
		for end := time.Now().Add(testLimit); requestsInFlight(g) > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the request does not end")
			}
		}
	}
	return out
}

func TestInnocentRequestIsNotQuarantinedForGood(t *testing.T) {
	tests := []struct {
		name   string
		host   string
		script []string
		want   []int
		held   bool
	}{
		{"it runs well", "g", nil, []int{200, 200, 200}, false},
		{"another host tries it", "other", nil, []int{503, 503}, true},
		{"its servers do not mark the end", "g", []string{openHead + "ok"}, []int{200}, false},
		{"its server fails", "g", []string{failureAnswer}, []int{500, 503}, true},
		{"its server breaks off", "g", []string{truncatedAnswer}, []int{502, 503}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t, tt.script...)
			g, c := newGate(t, routes(), b, b)
			grantTrial(g, "/safe/x", tt.host)
			got := statusesOf(t, g, c, "/safe/x", "", len(tt.want))
			for n, status := range got {
				if status != tt.want[n] {
					t.Errorf("answer %d is a %d, want %d", n+1, status, tt.want[n])
				}
			}
			if held := len(g.options.Quarantine.Quarantined()) > 0; held != tt.held {
				t.Errorf("quarantined: %v, want %v", held, tt.held)
			}
		})
	}
}

func TestTrialThatNoServerRunsIsKept(t *testing.T) {
	tests := []struct {
		name     string
		backends []*backend
	}{
		{"no server", nil},
		{"servers refuse", []*backend{newBackend(t, notRunAnswer, notRunAnswer), newBackend(t, notRunAnswer, notRunAnswer)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, c := newGate(t, routes(), tt.backends...)
			grantTrial(g, "/safe/x", "g")
			if got := statusesOf(t, g, c, "/safe/x", "", 1); got[0] != http.StatusServiceUnavailable {
				t.Errorf("got a %d, want a refusal", got[0])
			}
			if !g.options.Quarantine.TakeTrial(requestFingerprint("/safe/x")) {
				t.Error("the trial is over, want it kept for the next request")
			}
		})
	}
}

func TestTrialThatCrashesAServerIsNotRepeated(t *testing.T) {
	tests := []struct {
		name   string
		server abortingServer
	}{
		{"before its answer", abortingServer{exits: true}},
		{"during its answer", abortingServer{exits: true, partial: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, c := newGate(t, routes(), tt.server.start(t), tt.server.start(t))
			grantTrial(g, "/safe/x", "g")
			if got := statusesOf(t, g, c, "/safe/x", "", 3); got[0] != http.StatusBadGateway || got[1] != http.StatusServiceUnavailable || got[2] != http.StatusServiceUnavailable {
				t.Errorf("got statuses %v, want one trial that fails", got)
			}
			crashed := 0
			for _, crash := range g.options.Quarantine.Crashes(requestFingerprint("/safe/x")) {
				if crash.Tried && crash.Trial == "" {
					crashed++
				}
			}
			if crashed != 1 {
				t.Errorf("%d crashes under the trial, want 1", crashed)
			}
		})
	}
}

func TestForwardedTrialReachesAServer(t *testing.T) {
	header := wheelgauge.HeaderTrial + ": 1\r\n"
	tests := []struct {
		name          string
		fromGateway   bool
		headers       string
		status, sends int
	}{
		{"on trial", true, header, 200, 1},
		{"not on trial", true, "", 503, 0},
		{"a caller claims one", false, header, 503, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t)
			g, c := newGate(t, routes(), b)
			if tt.fromGateway {
				c = peerConn(t, g)
			}
			grantTrial(g, "/safe/x", "other")
			if got := statusesOf(t, g, c, "/safe/x", tt.headers, 1); got[0] != tt.status || len(b.received()) != tt.sends {
				t.Errorf("got %d after %d sends, want %d after %d", got[0], len(b.received()), tt.status, tt.sends)
			}
		})
	}
}

func TestTrialIsForwarded(t *testing.T) {
	peer := newBackend(t)
	g, c := newGate(t, routes())
	g.options.Peers.UpdateHosts([]wheelgauge.FleetHost{{Name: "far", Region: "there", PeerAddress: peer.conn.Addr().String(), Ready: true}}, nil)
	grantTrial(g, "/safe/x", "g")
	statusesOf(t, g, c, "/safe/x", "", 1)
	sent := peer.received()
	if len(sent) != 1 || sent[0].Get(wheelgauge.HeaderTrial) == "" {
		t.Errorf("the gateway there got %v, want one request on trial", sent)
	}
}

func TestUnprovenRuns(t *testing.T) {
	at := time.Unix(1000, 0)
	tests := []struct {
		name   string
		server string
		after  time.Duration
		proven int
	}{
		{"the server answers later", "s", trialProofTime, 1},
		{"it answers at once", "s", trialProofTime - 1, 0},
		{"it answered before", "s", -1, 0},
		{"another server answers", "r", trialProofTime, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var u unprovenRuns
			u.add("s", unprovenRun{request: "p", endedAt: at})
			if got := u.take(tt.server, at.Add(tt.after)); len(got) != tt.proven {
				t.Errorf("%v are proven, want %d", got, tt.proven)
			}
			if left := len(u.take("s", at.Add(time.Hour))); left != 1-tt.proven {
				t.Errorf("%d runs are left, want %d", left, 1-tt.proven)
			}
		})
	}
}

func TestUnprovenRunsAreBounded(t *testing.T) {
	var u unprovenRuns
	for n := range 3 * maxUnprovenServers {
		for range 2 * maxUnprovenRuns {
			u.add(strconv.Itoa(n), unprovenRun{})
		}
	}
	held := 0
	for _, runs := range u.byServer {
		held += len(runs)
	}
	if held > maxUnprovenServers*maxUnprovenRuns {
		t.Errorf("%d runs are held", held)
	}
}

func TestRunWithoutMarkedEndClearsCrashesOnceItsServerGoesOn(t *testing.T) {
	g, c := newGate(t, routes(), newBackend(t, openHead+"ok"))
	q := g.options.Quarantine
	for n := range 2 {
		q.RecordCrash(wheelgauge.Crash{Fingerprint: requestFingerprint("/once/x"), Server: strconv.Itoa(n)})
	}
	statusesOf(t, g, c, "/once/x", "", 1)
	time.Sleep(trialProofTime)
	c = serveGate(t, g) // the answer ended with the connection
	statusesOf(t, g, c, "/once/y", "", 1)
	if crashes := q.RecordCrash(wheelgauge.Crash{Fingerprint: requestFingerprint("/once/x"), Server: "2"}); crashes != 1 {
		t.Errorf("%d crashes count, want 1", crashes)
	}
}
