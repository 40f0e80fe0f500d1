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
	// heapPart of a process's memory is the heap's: stacks and buffers of the
	// system need the rest.
	heapPart = 0.6
	// heapGrowth trades memory, which is plentiful, for processor time.
	heapGrowth = 400
)

// CheckClear refuses listeners off loopback unless [listen] clear allows them:
// hosts of the routes mode talk without TLS.
func CheckClear(v *settings.Values, names ...string) error {
	if v.Bool("listen", "clear") {
		return nil
	}
	for _, name := range names {
		if address := v.Text("listen", name); address != "" && !keypair.Loopback(address) {
			return fmt.Errorf("[listen] %s: %s is not loopback, expected [listen] clear = true on a closed network", name, address)
		}
	}
	return nil
}

// LimitMemory keeps the heap well below the memory of the process, in MB.
func LimitMemory(mb int) {
	if mb <= 0 {
		return
	}
	debug.SetGCPercent(heapGrowth)
	debug.SetMemoryLimit(int64(heapPart * float64(mb) * (1 << 20)))
}

// Seeds returns peer addresses of hosts that are named with any port or none.
func Seeds(hosts []string, port int) []string {
	out := make([]string, 0, len(hosts))
	for _, h := range hosts {
		if a, err := netip.ParseAddrPort(h); err == nil {
			h = a.Addr().String()
		}
		out = append(out, net.JoinHostPort(h, strconv.Itoa(port)))
	}
	return out
}
