package routetable

import (
	"fmt"
	"math"
	"strings"

	"wheelgauge"
)

// Check validates a complete configuration. The error names the route, service or
// workspace, and the field.
func Check(set *wheelgauge.RouteSet) error {
	services := map[string]bool{}
	for i, s := range set.Services {
		if s.Name == "" {
			return fmt.Errorf("service %d: a name is missing", i)
		}
		if services[s.Name] {
			return fmt.Errorf("service %s: stands twice", s.Name)
		}
		services[s.Name] = true
	}
	seen := map[string]string{}
	for i := range set.Routes {
		r := &set.Routes[i]
		if err := checkRoute(r, services); err != nil {
			return fmt.Errorf("route %s: %w", r.Name, err)
		}
		key := strings.ToLower(r.Host) + r.Prefix
		if other, ok := seen[key]; ok {
			return fmt.Errorf("route %s: route %s has the same host and prefix", r.Name, other)
		}
		seen[key] = r.Name
	}
	return checkWorkspaces(set.Workspaces)
}

// checkWorkspaces never includes a key in its error, because the error is logged and returned
// to the operator.
func checkWorkspaces(list []wheelgauge.Workspace) error {
	names, keys := map[string]bool{}, map[string]string{}
	for i := range list {
		w := &list[i]
		switch {
		case w.Name == "":
			return fmt.Errorf("workspace %d: a name is missing", i)
		case names[w.Name]:
			return fmt.Errorf("workspace %s: stands twice", w.Name)
		}
		names[w.Name] = true
		if err := checkCap(w.Cap); err != nil {
			return fmt.Errorf("workspace %s: %w", w.Name, err)
		}
		if w.Priority < 0 {
			return fmt.Errorf("workspace %s: priority: expected 0 or more", w.Name)
		}
		for n, key := range w.Keys {
			if key == "" {
				return fmt.Errorf("workspace %s: key %d: is empty", w.Name, n)
			}
			if other, ok := keys[key]; ok && other != w.Name {
				return fmt.Errorf("workspace %s: key %d: workspace %s has the same", w.Name, n, other)
			}
			keys[key] = w.Name
		}
	}
	return nil
}

func checkCap(c wheelgauge.Cap) error {
	fields := []struct {
		name  string
		value float64
	}{{"rate", c.Rate}, {"burst", c.Burst}, {"plain tokens", c.DefaultTokens}}
	for _, f := range fields {
		if f.value < 0 || math.IsNaN(f.value) || math.IsInf(f.value, 0) {
			return fmt.Errorf("%s: expected 0 or more", f.name)
		}
	}
	switch c.Unit {
	case "", wheelgauge.CapRequests, wheelgauge.CapTokens:
		return nil
	}
	return fmt.Errorf("unit: got unknown unit %q", c.Unit)
}

func checkRoute(r *wheelgauge.PathRoute, services map[string]bool) error {
	if r.Host == "" {
		return fmt.Errorf("host name: missing")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("path prefix: got %q, expected a leading and a trailing slash", r.Prefix)
	}
	switch r.Kind {
	case wheelgauge.RouteRepeatable, wheelgauge.RouteOnce, wheelgauge.RouteStream:
	default:
		return fmt.Errorf("kind: got unknown kind %q", r.Kind)
	}
	if r.Timeout <= 0 {
		return fmt.Errorf("timeout: expected more than 0")
	}
	return checkShares(r.Shares, services)
}

func checkShares(shares []wheelgauge.TrafficShare, services map[string]bool) error {
	total := 0
	for _, s := range shares {
		if !services[s.Service] {
			return fmt.Errorf("service: %q is not defined", s.Service)
		}
		if s.Weight < 0 {
			return fmt.Errorf("weight of %s: expected 0 or more", s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		return fmt.Errorf("weights: expected a sum greater than 0")
	}
	return nil
}
