// Package validate checks the specs of resources. Each error names the invalid field.
package validate

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"slices"

	"wheelgauge"
)

const (
	maxNameLength = 128
	maxPriority   = 9
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)

// FieldError is an invalid field of a spec.
type FieldError struct {
	kind  wheelgauge.Kind
	name  string
	field string
	want  string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s %s: field %s: expected %s", e.kind, e.name, e.field, e.want)
}

// Field returns the name of the invalid field.
func (e *FieldError) Field() string { return e.field }

// Exists reports whether a resource is configured.
type Exists func(kind wheelgauge.Kind, name string) bool

type checker struct {
	exists Exists
	field  string
	want   string
}

// Spec checks a spec and returns it as compact JSON.
func Spec(kind wheelgauge.Kind, name string, spec json.RawMessage, exists Exists) (json.RawMessage, error) {
	c := &checker{exists: exists}
	c.require(len(name) <= maxNameLength && namePattern.MatchString(name), "name", "letters, digits and ._:- (128 at most)")
	check := checks[kind]
	if check == nil {
		return nil, &FieldError{kind, name, "kind", fmt.Sprintf("one of %v", wheelgauge.Kinds())}
	}
	if c.want == "" {
		check(c, spec)
	}
	if c.want != "" {
		return nil, &FieldError{kind, name, c.field, c.want}
	}
	var out bytes.Buffer
	if err := json.Compact(&out, spec); err != nil {
		return nil, &FieldError{kind, name, "spec", "a JSON object"}
	}
	return out.Bytes(), nil
}

var checks = map[wheelgauge.Kind]func(c *checker, spec json.RawMessage){
	wheelgauge.KindRegion:        checkRegion,
	wheelgauge.KindHall:          checkHall,
	wheelgauge.KindHost:          checkHost,
	wheelgauge.KindBackendServer: checkBackendServer,
	wheelgauge.KindPool:          checkPool,
	wheelgauge.KindModel:         checkModel,
	wheelgauge.KindPlacement:     checkPlacement,
	wheelgauge.KindRoute:         checkRoute,
	wheelgauge.KindClientClass:   checkClientClass,
	wheelgauge.KindResidencyRule: checkResidencyRule,
}

// require records an invalid field unless one is recorded already.
func (c *checker) require(ok bool, field, want string) {
	if !ok && c.want == "" {
		c.field, c.want = field, want
	}
}

func (c *checker) requireResource(kind wheelgauge.Kind, name, field string) {
	c.require(c.exists(kind, name), field, fmt.Sprintf("the name of a %s, got %q", kind, name))
}

func (c *checker) requireAddress(text, field string) {
	_, err := netip.ParseAddrPort(text)
	c.require(err == nil, field, fmt.Sprintf("an address such as 10.0.0.1:8080, got %q", text))
}

func decode[T any](c *checker, spec json.RawMessage) T {
	var v T
	d := json.NewDecoder(bytes.NewReader(spec))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		c.require(false, "spec", "an object of known fields: "+err.Error())
	}
	return v
}

func checkRegion(c *checker, spec json.RawMessage) {
	s := decode[wheelgauge.RegionSpec](c, spec)
	c.require(s.Price >= 0, "price", "0 or more")
	for to, ms := range s.LinkDelaysMS {
		c.require(ms >= 0, "links_ms."+to, "0 or more milliseconds")
	}
}

func checkHall(c *checker, spec json.RawMessage) {
	s := decode[wheelgauge.HallSpec](c, spec)
	c.requireResource(wheelgauge.KindRegion, s.Region, "region")
}

func checkHost(c *checker, spec json.RawMessage) {
	s := decode[wheelgauge.HostSpec](c, spec)
	c.requireResource(wheelgauge.KindRegion, s.Region, "region")
	c.requireResource(wheelgauge.KindHall, s.Hall, "hall")
	c.requireAddress(s.CallerAddress, "caller")
	c.requireAddress(s.PeerAddress, "peer")
	c.require(s.Weight >= 0, "weight", "0 or more")
	if s.StoreAddress != "" {
		c.requireAddress(s.StoreAddress, "store")
	}
}

func checkBackendServer(c *checker, spec json.RawMessage) {
	s := decode[wheelgauge.BackendServerSpec](c, spec)
	c.requireResource(wheelgauge.KindPool, s.Pool, "pool")
	c.requireResource(wheelgauge.KindRegion, s.Region, "region")
	c.requireResource(wheelgauge.KindHall, s.Hall, "hall")
	c.requireAddress(s.Address, "address")
	c.require(s.Slots > 0 && s.Slots <= wheelgauge.MaxSlots, "slots", "1 to 100000")
}

func checkPool(c *checker, spec json.RawMessage) {
	s := decode[wheelgauge.PoolSpec](c, spec)
	c.require(s.Type == wheelgauge.PoolEngine || s.Type == wheelgauge.PoolService, "type", "engine or service")
}

func checkModel(c *checker, spec json.RawMessage) {
	s := decode[wheelgauge.ModelSpec](c, spec)
	c.require(len(s.Versions) > 0, "versions", "at least one")
	c.require(s.Bytes >= 0, "bytes", "0 or more")
}

func checkPlacement(c *checker, spec json.RawMessage) {
	s := decode[wheelgauge.PlacementSpec](c, spec)
	c.requireResource(wheelgauge.KindModel, s.Model, "model")
	for i, server := range s.Servers {
		c.requireResource(wheelgauge.KindBackendServer, server, fmt.Sprintf("servers[%d]", i))
	}
}

func checkRoute(c *checker, spec json.RawMessage) {
	s := decode[wheelgauge.RouteSpec](c, spec)
	c.require((s.Model == "") != (s.Path == ""), "model", "either model or path")
	c.requireResource(wheelgauge.KindPool, s.Pool, "pool")
	if s.OldPath == nil {
		return
	}
	c.requireAddress(s.OldPath.Address, "old_path.address")
	c.require(s.OldPath.Share >= 0 && s.OldPath.Share <= 1, "old_path.share", "0 to 1")
}

func checkClientClass(c *checker, spec json.RawMessage) {
	s := decode[wheelgauge.ClientClassSpec](c, spec)
	c.require(s.Priority >= 0 && s.Priority <= maxPriority, "priority", "0 to 9")
	c.require(s.Rate >= 0, "rate", "0 or more requests a second")
	c.require(s.Burst >= 0, "burst", "0 or more")
	c.require(s.DeadlineMS >= 0, "deadline_ms", "0 or more")
}

func checkResidencyRule(c *checker, spec json.RawMessage) {
	s := decode[wheelgauge.ResidencyRuleSpec](c, spec)
	c.require(s.Client != "", "client", "a client name or class:NAME")
	c.require(len(s.Regions) > 0, "regions", "at least one region")
	for i, region := range s.Regions {
		c.requireResource(wheelgauge.KindRegion, region, fmt.Sprintf("regions[%d]", i))
	}
}

// RemovesRegions reports whether the change of a residency rule from spec old to spec
// next forbids a region that was allowed. An empty spec allows every region; a change
// of the client counts as forbidding.
func RemovesRegions(old, next json.RawMessage) (bool, error) {
	if len(next) == 0 {
		return false, nil
	}
	if len(old) == 0 {
		return true, nil
	}
	var oldSpec, nextSpec wheelgauge.ResidencyRuleSpec
	if err := json.Unmarshal(old, &oldSpec); err != nil {
		return false, fmt.Errorf("decode residency rule: %w", err)
	}
	if err := json.Unmarshal(next, &nextSpec); err != nil {
		return false, fmt.Errorf("decode residency rule: %w", err)
	}
	if oldSpec.Client != nextSpec.Client {
		return true, nil
	}
	removed := slices.ContainsFunc(oldSpec.Regions, func(r string) bool { return !slices.Contains(nextSpec.Regions, r) })
	return removed, nil
}
