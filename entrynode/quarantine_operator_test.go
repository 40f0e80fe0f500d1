package entrynode

import (
	"context"
	"net/http"
	"testing"

	"wheelgauge"
	"wheelgauge/opsclient"
)

func TestOperatorReleasesFromQuarantine(t *testing.T) {
	f := openFleet(t)
	const address = "127.0.84.9:7805"
	serveOperatorAPI(t, f.stores[0], address)
	c, ctx := opsclient.New([]string{address}, "", nil), context.Background()
	for n := 0; f.send(n%fleetSize, "/a/deadly", crashBody) != http.StatusServiceUnavailable; n++ {
		f.awaitServing(t, (n+1)%fleetSize)
	}
	var held []wheelgauge.Quarantined
	waitFor(t, "the request is listed", func() bool {
		var err error
		held, err = c.Quarantined(ctx)
		return err == nil && len(held) == 1 && held[0].Crashes >= 3
	})
	if err := c.ReleaseQuarantined(ctx, held[0].Fingerprint); err != nil {
		t.Fatal(err)
	}
	if err := c.ReleaseQuarantined(ctx, held[0].Fingerprint); wheelgauge.AsError(err).Status() != http.StatusNotFound {
		t.Errorf("a second release: got %v, want status 404", err)
	}
	crashes := f.engines.crashes.Load()
	for n := range fleetSize {
		waitFor(t, "the host sends the request again, or knows that it crashes engines again", func() bool {
			f.awaitServing(t, n)
			return f.send(n, "/a/deadly", crashBody) != http.StatusServiceUnavailable || f.engines.crashes.Load() >= crashes+3
		})
	}
	if f.engines.crashes.Load() == crashes {
		t.Error("no engine got the request after its release")
	}
}
