package routetable

import (
	"fmt"
	"strings"

	"wheelgauge"
)

// Check finds what makes a whole configuration invalid. The error names the
// route or service and the field.
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
	places := map[string]string{}
	for i := range set.Routes {
		r := &set.Routes[i]
		if err := checkRoute(r, services); err != nil {
			return fmt.Errorf("route %s: %w", r.Name, err)
		}
		place := strings.ToLower(r.Host) + r.Prefix
		if other, ok := places[place]; ok {
			return fmt.Errorf("route %s: route %s has the same host and prefix", r.Name, other)
		}
		places[place] = r.Name
	}
	return nil
}

func checkRoute(r *wheelgauge.PathRoute, services map[string]bool) error {
	if r.Host == "" {
		return fmt.Errorf("host name: missing")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("path prefix: got %q, expected one that begins and ends with a slash", r.Prefix)
	}
	switch r.Kind {
	case wheelgauge.RouteRepeatable, wheelgauge.RouteOnce, wheelgauge.RouteStream:
	default:
		return fmt.Errorf("kind: got %q, which is not known", r.Kind)
	}
	if r.Timeout <= 0 {
		return fmt.Errorf("timeout: expected more than 0")
	}
	return checkShares(r.Shares, services)
}

func checkShares(shares []wheelgauge.Share, services map[string]bool) error {
	total := 0
	for _, s := range shares {
		if !services[s.Service] {
			return fmt.Errorf("service: %q is not known", s.Service)
		}
		if s.Weight < 0 {
			return fmt.Errorf("weight of %s: expected 0 or more", s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		return fmt.Errorf("weights: expected a sum above 0")
	}
	return nil
}
