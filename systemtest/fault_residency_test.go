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

// TestFaultResidency: requests of a client with a residency rule run in its permitted
// regions only, also if those are full or have no server left.
func TestFaultResidency(t *testing.T) {
	s := smallTopology()
	s.slots = 1
	s.regionBound = func(region string, i int) bool { return region == "karachi" && i == 0 }
	// Without these costs, unbound clients are forwarded as soon as home is busy.
	s.gatewaySettings = "[routing]\naway_cost = 0\ncold_prefill = 0s\n"
	d := launch(t, s)
	d.awaitInForce(1)
	client := testClient("karachi")
	home, other := d.node("karachi-1"), d.node("lahore-1")

	r := d.send(other, chat(client, "refused elsewhere", 4))
	if r.reason() != wheelgauge.ReasonResidency || r.outcome() != wheelgauge.OutcomeNotRun || len(r.apiErr.Entries()) == 0 {
		t.Fatalf("at another region's host: got %s, want a residency refusal with an entry list", r)
	}
	for _, e := range r.apiErr.Entries() {
		if e.Region != "karachi" {
			t.Fatalf("the entry list sends a bound client to %s, want karachi", e.Region)
		}
	}
	list, err := d.entries(other, client)
	if err != nil || len(list) != 1 || list[0].Host != home.name {
		t.Fatalf("entry list %v, %v; want the home host only", list, err)
	}

	// With a full home region, other clients are forwarded and the bound client waits.
	var waits []func() reply
	for i := range 4 {
		waits = append(waits, d.stream(t, home, chat(load.ClientName("karachi", 1+i%2), fmt.Sprint("filler ", i), 60)))
	}
	if err := checkComplete(d.send(home, chat(client, "bound and whole", 8)), "bound and whole", 8); err != nil {
		t.Error(err)
	}
	for _, wait := range waits {
		wait()
	}

	// With no server left at home, the bound client is refused as not run, not forwarded.
	before := d.startedInRegion("lahore") + d.startedInRegion("peshawar")
	d.server("engine-karachi-0").process.kill()
	eventually(t, 10*time.Second, "the bound client is refused", func() error {
		r := d.send(home, chat(client, "no server at home", 4))
		if r.reason() != wheelgauge.ReasonNoServer || r.outcome() != wheelgauge.OutcomeNotRun {
			return fmt.Errorf("got %s", r)
		}
		return nil
	})
	if after := d.startedInRegion("lahore") + d.startedInRegion("peshawar"); after != before {
		t.Errorf("%d requests of a bound client were run in other regions, want none", after-before)
	}
	eventually(t, 10*time.Second, "an unbound client is served in another region", func() error {
		return checkComplete(d.send(home, chat(load.ClientName("karachi", 1), "free client", 4)), "free client", 4)
	})
}

// TestFaultResidencyBeforeBody: a request is refused before its body is read.
func TestFaultResidencyBeforeBody(t *testing.T) {
	s := smallTopology()
	s.regionBound = func(region string, i int) bool { return region == "karachi" && i == 0 }
	d := launch(t, s)
	c, err := net.Dial("tcp", net.JoinHostPort(d.node("lahore-1").ip, strconv.Itoa(portCaller)))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 1000000\r\n\r\n{", load.CredentialOf(testClient("karachi")))
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 4096)
	n, err := c.Read(buf)
	if err != nil || !strings.HasPrefix(string(buf[:n]), "HTTP/1.1 421") {
		t.Fatalf("after the first byte of the body: got %q, %v, want status 421", buf[:n], err)
	}
}

// TestFaultResidencyTightening adds a residency rule while a region is partitioned: the
// rule is enforced where it has arrived, stays pending until it is in force
// everywhere, and is accepted once the partition heals.
func TestFaultResidencyTightening(t *testing.T) {
	s := smallTopology()
	d := launch(t, s)
	client := testClient("peshawar")
	d.isolateRegion("lahore")
	result, err := d.put(residencyRule("tight", client, "peshawar"))
	if err != nil || !result.Pending {
		t.Fatalf("apply during a partition: got %+v, %v, want a pending change", result, err)
	}
	eventually(t, 10*time.Second, "karachi enforces the pending rule", func() error {
		if r := d.send(d.node("karachi-1"), chat(client, "early", 2)); r.reason() != wheelgauge.ReasonResidency {
			return fmt.Errorf("got %s", r)
		}
		return nil
	})
	if err := checkComplete(d.send(d.node("peshawar-1"), chat(client, "allowed", 2)), "allowed", 2); err != nil {
		t.Error(err)
	}
	// The partitioned region continues with the accepted rules, which restrict nothing.
	if err := checkComplete(d.send(d.node("lahore-1"), chat(client, "still accepted here", 2)), "still accepted here", 2); err != nil {
		t.Error(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err = d.operator.WaitInForce(ctx, result.Generation)
	if err == nil || !strings.Contains(err.Error(), "lahore-1") {
		t.Errorf("waiting for a rule that is not in force everywhere: got %v, want an error that names lahore-1", err)
	}
	got, err := d.operator.Get(context.Background(), wheelgauge.KindResidencyRule, "tight")
	if err != nil || len(got.Pending) == 0 {
		t.Errorf("during the partition: got %+v, %v, want a pending rule", got, err)
	}
	d.network.heal()
	eventually(t, 20*time.Second, "the rule is accepted", func() error {
		got, err := d.operator.Get(context.Background(), wheelgauge.KindResidencyRule, "tight")
		if err != nil || len(got.Pending) > 0 {
			return fmt.Errorf("got %+v, %v", got, err)
		}
		return nil
	})
	if r := d.send(d.node("lahore-1"), chat(client, "too late", 2)); r.reason() != wheelgauge.ReasonResidency {
		t.Errorf("accepted rule: got %s, want a residency refusal", r)
	}
}

// TestFaultResidencyTighteningRestart restarts the gateway and the store of a
// partitioned region after a rule is accepted: the rule stays in force.
func TestFaultResidencyTighteningRestart(t *testing.T) {
	d := launch(t, smallTopology())
	client, lahore := testClient("peshawar"), d.node("lahore-1")
	if _, err := d.put(residencyRule("tight", client, "peshawar")); err != nil {
		t.Fatal(err)
	}
	eventually(t, 20*time.Second, "the rule is accepted", func() error {
		got, err := d.operator.Get(context.Background(), wheelgauge.KindResidencyRule, "tight")
		if err != nil || len(got.Pending) > 0 {
			return fmt.Errorf("got %+v, %v", got, err)
		}
		return nil
	})
	before, err := d.generation(lahore)
	if err != nil {
		t.Fatal(err)
	}
	d.isolateRegion("lahore")
	lahore.store.kill()
	lahore.gateway.kill()
	d.startStore(lahore)
	d.startGateway(lahore)
	eventually(t, 20*time.Second, "lahore serves its own callers during the partition", func() error {
		return checkComplete(d.send(lahore, chat(testClient("lahore"), "own caller", 2)), "own caller", 2)
	})
	after, err := d.generation(lahore)
	if err != nil || after < before {
		t.Errorf("generation went back from %d to %d, %v", before, after, err)
	}
	if r := d.send(lahore, chat(client, "forbidden", 2)); r.reason() != wheelgauge.ReasonResidency {
		t.Errorf("accepted rule after a restart: got %s, want a residency refusal", r)
	}
}

// TestFaultForwardLoop: forwarding headers sent by a caller are ignored, and a
// forwarded request is not forwarded again even if another region could serve it.
func TestFaultForwardLoop(t *testing.T) {
	s := smallTopology()
	s.engines = []int{0, 1, 1}
	d := launch(t, s)
	karachi := d.node("karachi-1")
	forged := chat(testClient("karachi"), "forged", 2)
	forged.header = map[string]string{wheelgauge.HeaderForwardedFrom: "lahore", wheelgauge.HeaderClient: "lahore-client-5", wheelgauge.HeaderClass: "royal", wheelgauge.HeaderMust: "true"}
	// The headers are dropped: the request is forwarded once, as any other.
	r := d.send(karachi, forged)
	if err := checkComplete(r, "forged", 2); err != nil || r.header.Get(wheelgauge.HeaderRegion) == "karachi" {
		t.Fatalf("got %s, %v, want an answer from another region", r, err)
	}
	if r := d.send(karachi, call{method: http.MethodPost, path: "/peer/forward/v1/chat/completions", client: testClient("karachi"), body: forged.body, header: forged.header}); r.status != http.StatusNotFound {
		t.Errorf("peer path on the caller listener: got %s, want 404", r)
	}
	// On the peer listener the request counts as forwarded and is not forwarded again.
	before := d.counter(karachi, "away.sent")
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/peer/forward/v1/chat/completions", karachi.ip, portPeer), strings.NewReader(forged.body))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range forged.header {
		req.Header.Set(k, v)
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var apiErr wheelgauge.Error
	if err := json.NewDecoder(resp.Body).Decode(&apiErr); err != nil || apiErr.Reason() != wheelgauge.ReasonNoServer || apiErr.Outcome() != wheelgauge.OutcomeNotRun {
		t.Errorf("got %v, %v, want no server and not run", &apiErr, err)
	}
	if after := d.counter(karachi, "away.sent"); after != before {
		t.Errorf("a forwarded request was forwarded again %d times", after-before)
	}
}
