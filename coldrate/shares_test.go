package coldrate

import (
	"fmt"
	"testing"
	"time"
)

// For any number of hosts the sum stays within one and a half times the rate and a slack of
// three in every second.
func TestSumOverHosts(t *testing.T) {
	const rate, overage, slack = 3.5, 1.5, 3.0
	for _, n := range []int{1, 2, 3, 8, 40} {
		at := time.Unix(0, 0)
		now := func() time.Time { return at }
		var peers []string
		for i := range n {
			peers = append(peers, fmt.Sprint("host", i))
		}
		shares := make([]*Shares, n)
		for i := range shares {
			shares[i] = New(now)
		}
		for second := range 5 {
			sent := 0
			for range 100 {
				at = at.Add(10 * time.Millisecond)
				for i, s := range shares {
					if s.Take("server", peers[i], peers, rate) {
						sent++
					}
				}
			}
			if float64(sent) > rate*overage+slack {
				t.Errorf("%d hosts: %d requests in second %d, want at most %.2f", n, sent, second, rate*overage+slack)
			}
			if sent == 0 {
				t.Errorf("%d hosts: no request in second %d", n, second)
			}
		}
	}
}

func TestUnknownHosts(t *testing.T) {
	if New(time.Now).Take("server", "host", nil, 100) {
		t.Error("a host without a view of the hosts sent to a cold server")
	}
}
