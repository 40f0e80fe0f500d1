package program

import (
	"fmt"
	"net"
	"net/netip"
	"runtime/debug"
	"strconv"

	"wheelgauge/keypair"
	"wheelgauge/settings"
)

const (
	// heapFraction is the share of the process's memory that the heap may use: stacks and
	// system buffers need the rest.
	heapFraction = 0.6
	// gcPercent keeps the heap below twice what is live: memory is scarcer than processor time.
	gcPercent = 100
)

// CheckCleartext rejects listeners off loopback unless [listen] clear allows them:
// hosts of the routes mode communicate without TLS.
func CheckCleartext(v *settings.Values, names ...string) error {
	if v.Bool("listen", "clear") {
		return nil
	}
	for _, name := range names {
		if address := v.Text("listen", name); address != "" && !keypair.IsLoopback(address) {
			return fmt.Errorf("[listen] %s: %s is not loopback, expected [listen] clear = true on a closed network", name, address)
		}
	}
	return nil
}

// LimitMemory limits the heap to a fraction of mb, the memory of the process in MB; 0 means
// no limit.
func LimitMemory(mb int) {
	if mb <= 0 {
		return
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapFraction * float64(mb) * (1 << 20)))
}

// SeedAddresses returns the peer addresses of hosts given with any port or none.
func SeedAddresses(hosts []string, port int) []string {
	out := make([]string, 0, len(hosts))
	for _, h := range hosts {
		if a, err := netip.ParseAddrPort(h); err == nil {
			h = a.Addr().String()
		}
		out = append(out, net.JoinHostPort(h, strconv.Itoa(port)))
	}
	return out
}
