package systemtest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/load"
	"wheelgauge/opsclient"
	"wheelgauge/peerhttp"
)

// sendRaw sends text to a gateway's caller port and returns what it reads until the
// connection is closed.
func (d *deployment) sendRaw(n *node, text string, halfClose bool) (string, error) {
	c, err := net.Dial("tcp", net.JoinHostPort(n.ip, strconv.Itoa(portCaller)))
	if err != nil {
		return "", err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	if halfClose {
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			return "", err
		}
	}
	out, err := io.ReadAll(c)
	return string(out), err
}

// TestBadInput: each kind of bad request gets its status and reason, is reported as
// not run, and reaches no backend server.
func TestBadInput(t *testing.T) {
	d := launch(t, smallTopology())
	n, client := d.node("karachi-1"), testClient("karachi")
	authorised := "Authorization: Bearer " + load.CredentialOf(client) + "\r\n"
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
	tests := []struct {
		name   string
		raw    string
		half   bool
		call   call
		status int
		reason wheelgauge.Reason
	}{
		{name: "unknown client", call: chat("nobody", "x", 1), status: http.StatusUnauthorized, reason: wheelgauge.ReasonUnauthorized},
		{name: "broken JSON", call: call{method: "POST", path: "/v1/chat/completions", client: client, body: `{"model":`}, status: http.StatusBadRequest, reason: wheelgauge.ReasonBadRequest},
		{name: "unknown model", call: call{method: "POST", path: "/v1/chat/completions", client: client, body: `{"model":"none"}`}, status: http.StatusNotFound, reason: wheelgauge.ReasonNotFound},
		{name: "unknown route", call: call{method: "GET", path: "/s/none/x", client: client}, status: http.StatusNotFound, reason: wheelgauge.ReasonNotFound},
		{name: "unknown path", call: call{method: "GET", path: "/v2/x", client: client}, status: http.StatusNotFound, reason: wheelgauge.ReasonNotFound},
		{name: "bad deadline", call: call{method: "GET", path: "/s/lookup/x", client: client, header: map[string]string{wheelgauge.HeaderDeadline: "soon"}}, status: http.StatusBadRequest, reason: wheelgauge.ReasonBadRequest},
		{name: "key that is no UUID of version 7", call: book(client, "bad-key", "booking-9"), status: http.StatusBadRequest, reason: wheelgauge.ReasonBadRequest},
		{name: "body too large", call: call{method: "POST", path: "/v1/chat/completions", client: client, body: strings.Repeat("x", 5<<20)}, status: http.StatusRequestEntityTooLarge, reason: wheelgauge.ReasonTooLarge},
		{name: "head too large", raw: head + authorised + "X-Long: " + strings.Repeat("y", 40000) + "\r\n\r\n", status: http.StatusRequestHeaderFieldsTooLarge, reason: wheelgauge.ReasonTooLarge},
		{name: "no HTTP at all", raw: "hello gateway\r\n\r\n", status: http.StatusBadRequest, reason: wheelgauge.ReasonBadRequest},
		{name: "chunked body without an end", raw: head + authorised + "Transfer-Encoding: chunked\r\n\r\n5\r\n{\"mod\r\n", half: true, status: http.StatusRequestTimeout, reason: wheelgauge.ReasonBadRequest},
		{name: "half-closed in the body", raw: head + authorised + "Content-Length: 100\r\n\r\n{\"model\":", half: true, status: http.StatusBadRequest, reason: wheelgauge.ReasonBadRequest},
		{name: "slow sender", raw: head + authorised + "Content-Length: 100\r\n\r\n{\"model\":", status: http.StatusRequestTimeout, reason: wheelgauge.ReasonBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.raw == "" {
				r := d.send(n, tt.call)
				if r.status != tt.status || r.reason() != tt.reason || r.outcome() != wheelgauge.OutcomeNotRun {
					t.Fatalf("got %s", r)
				}
				return
			}
			out, err := d.sendRaw(n, tt.raw, tt.half)
			// The kernel resets a connection that is closed with unread bytes.
			if errors.Is(err, syscall.ECONNRESET) && out != "" {
				err = nil
			}
			if err != nil || !strings.HasPrefix(out, "HTTP/1.1 "+strconv.Itoa(tt.status)) || !strings.Contains(out, `"reason":"`+string(tt.reason)+`"`) || !strings.Contains(out, `"outcome":"not-run"`) {
				t.Fatalf("got %q, %v", out, err)
			}
		})
	}
	if ran := d.executions()["bad-key"]; ran != 0 {
		t.Errorf("a refused booking ran %d times, want 0", ran)
	}
}

// TestCallerDisconnects: a caller's disconnect, before or after the first token,
// cancels its request on the engine, in its own region and in another.
func TestCallerDisconnects(t *testing.T) {
	tests := []struct {
		name    string
		gateway string
		engines []int
		server  string
	}{
		{"at home", "[routing]\naway = always-local\n", []int{1, 1, 1}, "engine-karachi-0"},
		{"away", "", []int{0, 1, 0}, "engine-lahore-0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := smallTopology()
			s.slots, s.gatewaySettings, s.engines = 1, tt.gateway, tt.engines
			cancelTwice(t, launch(t, s), tt.server)
		})
	}
}

func cancelTwice(t *testing.T, d *deployment, name string) {
	n, engine := d.node("karachi-1"), d.server(name)
	cancelled := func(want int) func() error {
		return func() error {
			var stats struct {
				Cancelled int `json:"cancelled"`
			}
			if err := getJSON("http://"+engine.addr+"/v1/stats", &stats); err != nil || stats.Cancelled < want {
				return fmt.Errorf("%d requests are cancelled, want %d, %v", stats.Cancelled, want, err)
			}
			return nil
		}
	}
	d.abandonAfter(n, 700*time.Millisecond)
	eventually(t, 10*time.Second, "a running stream is cancelled", cancelled(1))
	wait := d.stream(t, n, chat(testClient("karachi"), "holds the only slot", 200))
	d.abandonAfter(n, 300*time.Millisecond)
	eventually(t, 10*time.Second, "a waiting call is cancelled", cancelled(2))
	if err := checkComplete(wait(), "holds the only slot", 200); err != nil {
		t.Error(err)
	}
}

// abandonAfter requests a long answer and disconnects before its end.
func (d *deployment) abandonAfter(n *node, wait time.Duration) {
	c := chat(testClient("karachi"), "never read", 3000)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, d.url(n, c.path), strings.NewReader(c.body))
	if err != nil {
		d.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+load.CredentialOf(c.client))
	if resp, err := callerClient.Do(req); err == nil {
		_, _ = io.ReadAll(resp.Body) // ends with the timeout
		_ = resp.Body.Close()
	}
}

// TestOperatorInput: an operator's mistakes are refused with the reason.
func TestOperatorInput(t *testing.T) {
	d := launch(t, smallTopology())
	address := fmt.Sprintf("%s:%d", d.node("karachi-1").ip, portStoreOps)
	put := func(token string, kind wheelgauge.Kind, name string, v any) error {
		_, err := opsclient.New([]string{address}, token, nil).Change(context.Background(), wheelgauge.Change{Op: wheelgauge.OpPut, Kind: kind, Name: name, Spec: spec(v)}, false)
		return err
	}
	tests := []struct {
		name   string
		err    error
		reason wheelgauge.Reason
		detail string
	}{
		{"wrong token", put("guess", wheelgauge.KindClientClass, "x", wheelgauge.ClientClassSpec{}), wheelgauge.ReasonUnauthorized, "token"},
		{"no token", put("", wheelgauge.KindClientClass, "x", wheelgauge.ClientClassSpec{}), wheelgauge.ReasonUnauthorized, "token"},
		{"reader writes", put(readToken, wheelgauge.KindClientClass, "x", wheelgauge.ClientClassSpec{}), wheelgauge.ReasonForbidden, "reader"},
		{"field at fault", put(writeToken, wheelgauge.KindHost, "x", wheelgauge.HostSpec{Region: "karachi", Hall: "karachi-hall", Caller: "nowhere"}), wheelgauge.ReasonInvalid, "caller"},
		{"unknown reference", put(writeToken, wheelgauge.KindRoute, "x", wheelgauge.RouteSpec{Model: "m", Pool: "none"}), wheelgauge.ReasonInvalid, "pool"},
	}
	for _, tt := range tests {
		apiErr := wheelgauge.AsError(tt.err)
		if tt.err == nil || apiErr.Reason() != tt.reason || !strings.Contains(apiErr.Detail(), tt.detail) {
			t.Errorf("%s: got %v", tt.name, tt.err)
		}
	}
	dry := opsclient.New([]string{address}, writeToken, nil)
	if _, err := dry.Change(context.Background(), wheelgauge.Change{Op: wheelgauge.OpPut, Kind: wheelgauge.KindClientClass, Name: "dry", Spec: spec(wheelgauge.ClientClassSpec{})}, true); err != nil {
		t.Errorf("dry run: %v", err)
	}
	if _, err := dry.Get(context.Background(), wheelgauge.KindClientClass, "dry"); !isReason(err, wheelgauge.ReasonNotFound) {
		t.Errorf("a dry run created the resource: %v", err)
	}
	if _, err := dry.Watch(context.Background(), 0, time.Second); err != nil {
		t.Errorf("watch from the beginning: %v", err)
	}
}

// TestSettings: bad settings are refused by the check before anything is started.
func TestSettings(t *testing.T) {
	dir := t.TempDir()
	good := `[host]
name = a
region = r
hall = h
[listen]
caller = 127.0.0.1:1
peer = 127.0.0.1:2
operator = 127.0.0.1:3
[stores]
addresses = 127.0.0.1:4
[platform]
directory = 127.0.0.1:5
`
	tests := []struct {
		name string
		text string
		want string
	}{
		{"good", good, "settings are valid"},
		{"missing key", strings.Replace(good, "name = a\n", "", 1), "[host] name: missing"},
		{"unknown key", good + "colour = red\n", "[platform] colour: unknown key"},
		{"peers in the open", strings.Replace(good, "peer = 127.0.0.1", "peer = 10.0.0.1", 1), "[listen] peer: 10.0.0.1:2 is not loopback"},
		{"metrics in the open", strings.Replace(good, "operator = 127.0.0.1", "operator = 10.0.0.1", 1), "[listen] operator: expected a loopback address"},
	}
	for i, tt := range tests {
		out, _ := command("wheelgauge-gateway", "--check", "--config", writeFile(t, dir, fmt.Sprint(i, ".ini"), tt.text)) // the output is checked
		if !strings.Contains(out, tt.want) {
			t.Errorf("%s: got %q", tt.name, out)
		}
	}
	if out, err := command("wheelgauge-gateway", "--help"); err != nil || !strings.Contains(out, "[listen]") {
		t.Errorf("help: %v %s", err, out)
	}
}

// TestTLS runs a deployment with certificates: peers need a certificate of the
// authority, and keys are rotated without a restart.
func TestTLS(t *testing.T) {
	s := smallTopology()
	s.tls = true
	d := launch(t, s)
	karachi, lahore := d.node("karachi-1"), d.node("lahore-1")
	if err := checkComplete(d.send(karachi, chat(testClient("karachi"), "over TLS", 4)), "over TLS", 4); err != nil {
		t.Error(err)
	}
	// A booking in another region calls the claim store at home over TLS.
	if r := d.send(lahore, book(testClient("karachi"), "tls-1", newKey())); r.status != http.StatusOK {
		t.Errorf("booking: %s", r)
	}
	stranger := peerhttp.NewClient(nil, "")
	for _, address := range []string{fmt.Sprintf("%s:%d", karachi.ip, portPeer), fmt.Sprintf("%s:%d", karachi.ip, portStorePeer)} {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		if err := stranger.Call(ctx, http.MethodGet, address, "/v1/resources", nil, nil); err == nil {
			t.Errorf("%s answers without a certificate", address)
		}
		cancel()
	}
	// Rotation: every host gets a new certificate, then all connections are closed.
	for _, n := range d.nodes {
		path := filepath.Join(d.dir, "certs", n.name+".pem")
		before, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		d.tlsINI(n)
		if after, err := os.ReadFile(path); err != nil || string(after) == string(before) {
			t.Fatalf("no new certificate: %v", err)
		}
	}
	time.Sleep(1500 * time.Millisecond) // certificate files are checked once a second
	d.network.reset()
	generation := d.apply([]wheelgauge.Resource{class("rotated", 3)})
	d.awaitInForce(generation)
	if r := d.send(lahore, book(testClient("karachi"), "tls-2", newKey())); r.status != http.StatusOK {
		t.Errorf("booking after the rotation: %s", r)
	}
}

// TestOldPath moves a route from the old path to the gateway by share and by client,
// and back, without a restart.
func TestOldPath(t *testing.T) {
	s := smallTopology()
	s.services = []int{1, 1, 1}
	d := launch(t, s)
	n := d.node("karachi-1")
	old := &server{name: "old-depot", pool: "old", addr: fmt.Sprintf("%s:%d", d.ip(0, 99), portServer)}
	d.startServer(old)
	list := writeFile(t, d.dir, "old.txt", "# what the script served\npath depot/ "+old.addr+"\n")
	d.runCtl("import", list)
	served := func(client string) string {
		r := d.send(n, call{method: http.MethodGet, path: "/s/depot/7", client: client})
		if r.status != http.StatusOK {
			return fmt.Sprint(r)
		}
		return r.header.Get(wheelgauge.HeaderServed)
	}
	eventually(t, 10*time.Second, "all requests take the old path", func() error {
		if got := served(testClient("karachi")); got != "old path" {
			return fmt.Errorf("served by %s", got)
		}
		return nil
	})
	steps := []struct {
		name string
		path *wheelgauge.OldPath
		low  int
		high int
	}{
		{"half", &wheelgauge.OldPath{Address: old.addr, Share: 0.5}, 60, 140},
		{"named clients", &wheelgauge.OldPath{Address: old.addr, Clients: []string{load.ClientName("karachi", 3)}}, 0, 0},
		{"none", nil, 0, 0},
		{"back", &wheelgauge.OldPath{Address: old.addr, Share: 1}, 200, 200},
	}
	for _, step := range steps {
		generation := d.apply([]wheelgauge.Resource{{Kind: wheelgauge.KindRoute, Name: "old-depot", Spec: spec(wheelgauge.RouteSpec{Path: "depot/", Pool: "services", OldPath: step.path})}})
		d.awaitInForce(generation)
		viaOldPath := 0
		for range 200 {
			if served(testClient("karachi")) == "old path" {
				viaOldPath++
			}
		}
		if viaOldPath < step.low || viaOldPath > step.high {
			t.Errorf("%s: %d of 200 requests took the old path", step.name, viaOldPath)
		}
		if step.path != nil && len(step.path.Clients) > 0 && served(step.path.Clients[0]) != "old path" {
			t.Errorf("%s: the named client did not take the old path", step.name)
		}
	}
}
