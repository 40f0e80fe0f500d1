package systemtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/load"
)

func residencyRule(name, client string, regions ...string) wheelgauge.Resource {
	return wheelgauge.Resource{Kind: wheelgauge.KindResidencyRule, Name: name, Spec: spec(wheelgauge.ResidencyRuleSpec{Client: client, Regions: regions})}
}

// TestFaultResidency: data of a bound client is processed in its places only,
// also when they are full or have no server left.
func TestFaultResidency(t *testing.T) {
	s := smallShape()
	s.slots = 1
	s.bound = func(region string, i int) bool { return region == "karachi" && i == 0 }
	// Anyone who may will go away at once when home is busy.
	s.gateway = "[routing]\naway_cost = 0\ncold_prefill = 0s\n"
	d := launch(t, s)
	d.awaitInForce(1)
	client := standby("karachi")
	home, other := d.node("karachi-1"), d.node("lahore-1")

	r := d.do(other, chat(client, "refused elsewhere", 4))
	if r.reason() != wheelgauge.ReasonResidency || r.outcome() != wheelgauge.OutcomeNotRun || len(r.fault.Entries()) == 0 {
		t.Fatalf("at another region's host: %s", r)
	}
	for _, e := range r.fault.Entries() {
		if e.Region != "karachi" {
			t.Fatalf("the list sends a bound client to %s", e.Region)
		}
	}
	list, err := d.entries(other, client)
	if err != nil || len(list) != 1 || list[0].Host != home.name {
		t.Fatalf("entry list %v, %v", list, err)
	}

	// Full home: others are sent away, the bound client waits or is refused.
	var rest []func() reply
	for i := range 4 {
		rest = append(rest, d.stream(t, home, chat(load.ClientName("karachi", 1+i%2), fmt.Sprint("filler ", i), 60)))
	}
	if err := whole(d.do(home, chat(client, "bound and whole", 8)), "bound and whole", 8); err != nil {
		t.Error(err)
	}
	for _, wait := range rest {
		wait()
	}

	// No server left at home: refused as not run, not sent away.
	before := d.started("lahore") + d.started("peshawar")
	d.server("engine-karachi-0").run.kill()
	eventually(t, 10*time.Second, "the bound client is refused", func() error {
		r := d.do(home, chat(client, "no server at home", 4))
		if r.reason() != wheelgauge.ReasonNoServer || r.outcome() != wheelgauge.OutcomeNotRun {
			return fmt.Errorf("got %s", r)
		}
		return nil
	})
	if after := d.started("lahore") + d.started("peshawar"); after != before {
		t.Errorf("%d requests of a bound client were run in other regions", after-before)
	}
	eventually(t, 10*time.Second, "a free client is served elsewhere", func() error {
		return whole(d.do(home, chat(load.ClientName("karachi", 1), "free client", 4)), "free client", 4)
	})
}

// TestFaultResidencyBeforeBody: a refused request's body is not taken in.
func TestFaultResidencyBeforeBody(t *testing.T) {
	s := smallShape()
	s.bound = func(region string, i int) bool { return region == "karachi" && i == 0 }
	d := launch(t, s)
	c, err := net.Dial("tcp", net.JoinHostPort(d.node("lahore-1").ip, strconv.Itoa(portCaller)))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 1000000\r\n\r\n{", load.CredentialOf(standby("karachi")))
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 4096)
	n, err := c.Read(buf)
	if err != nil || !strings.HasPrefix(string(buf[:n]), "HTTP/1.1 421") {
		t.Fatalf("after the first byte of the body: %q, %v", buf[:n], err)
	}
}

// TestFaultTightening takes a right away while a region is cut off: the rule is
// obeyed where it has come, is not called accepted before it is in force
// everywhere, and is accepted once the cut heals.
func TestFaultTightening(t *testing.T) {
	s := smallShape()
	d := launch(t, s)
	client := standby("peshawar")
	d.cutRegion("lahore")
	result, err := d.put(residencyRule("tight", client, "peshawar"))
	if err != nil || !result.Pending {
		t.Fatalf("apply in a cut: %+v, %v", result, err)
	}
	eventually(t, 10*time.Second, "karachi obeys the pending rule", func() error {
		if r := d.do(d.node("karachi-1"), chat(client, "early", 2)); r.reason() != wheelgauge.ReasonResidency {
			return fmt.Errorf("got %s", r)
		}
		return nil
	})
	if err := whole(d.do(d.node("peshawar-1"), chat(client, "allowed", 2)), "allowed", 2); err != nil {
		t.Error(err)
	}
	// The cut-off region goes on under the rule that is accepted: none.
	if err := whole(d.do(d.node("lahore-1"), chat(client, "still accepted here", 2)), "still accepted here", 2); err != nil {
		t.Error(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err = d.ops.WaitInForce(ctx, result.Generation)
	if err == nil || !strings.Contains(err.Error(), "lahore-1") {
		t.Errorf("waiting for a rule that is not everywhere: %v", err)
	}
	got, err := d.ops.Get(context.Background(), wheelgauge.KindResidencyRule, "tight")
	if err != nil || len(got.Pending) == 0 {
		t.Errorf("accepted in the cut: %+v, %v", got, err)
	}
	d.net.heal()
	eventually(t, 20*time.Second, "the rule is accepted", func() error {
		got, err := d.ops.Get(context.Background(), wheelgauge.KindResidencyRule, "tight")
		if err != nil || len(got.Pending) > 0 {
			return fmt.Errorf("got %+v, %v", got, err)
		}
		return nil
	})
	if r := d.do(d.node("lahore-1"), chat(client, "too late", 2)); r.reason() != wheelgauge.ReasonResidency {
		t.Errorf("an accepted rule is not obeyed: %s", r)
	}
}

// TestFaultTighteningRestart restarts a gateway and the store of the cut-off
// region while a rule is pending, and again after it is accepted.
func TestFaultTighteningRestart(t *testing.T) {
	d := launch(t, smallShape())
	client, lahore := standby("peshawar"), d.node("lahore-1")
	if _, err := d.put(residencyRule("tight", client, "peshawar")); err != nil {
		t.Fatal(err)
	}
	eventually(t, 20*time.Second, "the rule is accepted", func() error {
		got, err := d.ops.Get(context.Background(), wheelgauge.KindResidencyRule, "tight")
		if err != nil || len(got.Pending) > 0 {
			return fmt.Errorf("got %+v, %v", got, err)
		}
		return nil
	})
	before, err := d.generation(lahore)
	if err != nil {
		t.Fatal(err)
	}
	d.cutRegion("lahore")
	lahore.store.kill()
	lahore.gateway.kill()
	d.startStore(lahore)
	d.startGateway(lahore)
	eventually(t, 20*time.Second, "lahore serves its own callers inside the cut", func() error {
		return whole(d.do(lahore, chat(standby("lahore"), "own caller", 2)), "own caller", 2)
	})
	after, err := d.generation(lahore)
	if err != nil || after < before {
		t.Errorf("fell back from generation %d to %d, %v", before, after, err)
	}
	if r := d.do(lahore, chat(client, "forbidden", 2)); r.reason() != wheelgauge.ReasonResidency {
		t.Errorf("a restart forgot an accepted rule: %s", r)
	}
}

// TestFaultLoop: a forward mark sent by a caller counts for nothing, and a
// forwarded request is not forwarded again though another region could serve it.
func TestFaultLoop(t *testing.T) {
	s := smallShape()
	s.engines = []int{0, 1, 1}
	d := launch(t, s)
	karachi := d.node("karachi-1")
	forged := chat(standby("karachi"), "forged", 2)
	forged.header = map[string]string{wheelgauge.HeaderForwardedFrom: "lahore", wheelgauge.HeaderClient: "lahore-client-5", wheelgauge.HeaderClass: "royal", wheelgauge.HeaderMust: "true"}
	// The mark is dropped: the request is forwarded once, as any other.
	r := d.do(karachi, forged)
	if err := whole(r, "forged", 2); err != nil || r.header.Get(wheelgauge.HeaderRegion) == "karachi" {
		t.Fatalf("got %s, %v", r, err)
	}
	if r := d.do(karachi, call{method: http.MethodPost, path: "/peer/forward/v1/chat/completions", client: standby("karachi"), body: forged.body, header: forged.header}); r.status != http.StatusNotFound {
		t.Errorf("the callers' listener has a way for peers: %s", r)
	}
	// By the peers' listener: taken as forwarded, and not sent on.
	before := d.counter(karachi, "away.sent")
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/peer/forward/v1/chat/completions", karachi.ip, portPeer), strings.NewReader(forged.body))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range forged.header {
		req.Header.Set(k, v)
	}
	resp, err := callers.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var fault wheelgauge.Error
	if err := json.NewDecoder(resp.Body).Decode(&fault); err != nil || fault.Reason() != wheelgauge.ReasonNoServer || fault.Outcome() != wheelgauge.OutcomeNotRun {
		t.Errorf("got %v, %v", &fault, err)
	}
	if after := d.counter(karachi, "away.sent"); after != before {
		t.Errorf("a forwarded request was sent on %d times", after-before)
	}
}
