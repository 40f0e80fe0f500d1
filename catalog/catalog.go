// Package catalog builds a typed, immutable view of the configured resources, as
// needed to decide on requests.
package catalog

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"wheelgauge"
	"wheelgauge/rendezvous"
)

// classPrefix starts the client name of a residency rule for all clients of a class.
const classPrefix = "class:"

// Host is an entry host with the hash of its name for rendezvous hashing.
type Host struct {
	Name string
	Hash uint64
	wheelgauge.HostSpec
}

// Server is a backend server with the hash of its name for rendezvous hashing.
type Server struct {
	Name string
	Hash uint64
	wheelgauge.BackendServerSpec
}

// Route is a route with its name.
type Route struct {
	Name string
	wheelgauge.RouteSpec
	// Engine is true when the pool is of model engines.
	Engine bool
	// Digest identifies where the route sends requests, and whether they may be repeated.
	Digest uint64
}

type poolRegion struct{ pool, region string }

// rule is a residency rule; one that is unreadable forbids every region.
type rule struct {
	allowed    []string
	pending    []string
	unreadable bool
}

// Catalog is one generation of the configuration.
type Catalog struct {
	generation    uint64
	resources     []wheelgauge.Resource
	regions       map[string]wheelgauge.RegionSpec
	hosts         map[string]*Host
	hostsByRegion map[string][]*Host
	servers       map[string]*Server
	byPoolRegion  map[poolRegion][]*Server
	placements    map[string]map[string]string // version by model and server
	models        map[string]*Route
	paths         []*Route
	classes       map[string]wheelgauge.ClientClassSpec
	rules         map[string][]rule
	pools         map[string]string
	errs          []error
	// The sorted names are built once, as every request uses them.
	regionNames []string
	poolNames   []string
}

// Build returns a catalog of resources. It leaves out resources that cannot be
// decoded and returns them from DecodeErrors; a residency rule that cannot be decoded
// forbids every region.
func Build(generation uint64, resources []wheelgauge.Resource) *Catalog {
	c := &Catalog{
		generation: generation, resources: resources,
		regions: map[string]wheelgauge.RegionSpec{}, hosts: map[string]*Host{}, hostsByRegion: map[string][]*Host{},
		servers: map[string]*Server{}, byPoolRegion: map[poolRegion][]*Server{}, placements: map[string]map[string]string{},
		models: map[string]*Route{}, classes: map[string]wheelgauge.ClientClassSpec{}, rules: map[string][]rule{}, pools: map[string]string{},
	}
	for i := range resources {
		if err := c.add(&resources[i]); err != nil {
			c.errs = append(c.errs, fmt.Errorf("%s %s: %w", resources[i].Kind, resources[i].Name, err))
		}
	}
	c.finish()
	return c
}

func (c *Catalog) add(r *wheelgauge.Resource) error {
	switch r.Kind {
	case wheelgauge.KindRegion:
		return decodeSpec(r.Spec, func(s wheelgauge.RegionSpec) { c.regions[r.Name] = s })
	case wheelgauge.KindPool:
		return decodeSpec(r.Spec, func(s wheelgauge.PoolSpec) { c.pools[r.Name] = s.Type })
	case wheelgauge.KindHost:
		return decodeSpec(r.Spec, func(s wheelgauge.HostSpec) { c.addHost(r.Name, s) })
	case wheelgauge.KindBackendServer:
		return decodeSpec(r.Spec, func(s wheelgauge.BackendServerSpec) { c.addServer(r.Name, s) })
	case wheelgauge.KindPlacement:
		return decodeSpec(r.Spec, c.addPlacement)
	case wheelgauge.KindRoute:
		return decodeSpec(r.Spec, func(s wheelgauge.RouteSpec) { c.addRoute(r.Name, s) })
	case wheelgauge.KindClientClass:
		return decodeSpec(r.Spec, func(s wheelgauge.ClientClassSpec) { c.classes[r.Name] = s })
	case wheelgauge.KindResidencyRule:
		return c.addRule(r)
	default:
		return nil
	}
}

func decodeSpec[T any](spec json.RawMessage, use func(T)) error {
	var s T
	if err := json.Unmarshal(spec, &s); err != nil {
		return fmt.Errorf("decode spec: %w", err)
	}
	use(s)
	return nil
}

func (c *Catalog) addHost(name string, s wheelgauge.HostSpec) {
	if s.Weight == 0 {
		s.Weight = 1
	}
	h := &Host{Name: name, Hash: rendezvous.Hash(name), HostSpec: s}
	c.hosts[name] = h
	c.hostsByRegion[s.Region] = append(c.hostsByRegion[s.Region], h)
}

func (c *Catalog) addServer(name string, s wheelgauge.BackendServerSpec) {
	server := &Server{Name: name, Hash: rendezvous.Hash(name), BackendServerSpec: s}
	c.servers[name] = server
	p := poolRegion{s.Pool, s.Region}
	c.byPoolRegion[p] = append(c.byPoolRegion[p], server)
}

func (c *Catalog) addPlacement(s wheelgauge.PlacementSpec) {
	model := s.Model
	if c.placements[model] == nil {
		c.placements[model] = map[string]string{}
	}
	for _, server := range s.Servers {
		c.placements[model][server] = s.Version
	}
}

func (c *Catalog) addRoute(name string, s wheelgauge.RouteSpec) {
	route := &Route{Name: name, RouteSpec: s, Digest: rendezvous.Hash(fmt.Sprintf("%q %q %t", name, s.Pool, s.NotRepeatable))}
	if s.Model != "" {
		c.models[s.Model] = route
		return
	}
	c.paths = append(c.paths, route)
}

func (c *Catalog) addRule(r *wheelgauge.Resource) error {
	var added rule
	client, err := decodeRule(r.Spec, &added.allowed)
	pendingClient, errPending := decodeRule(r.Pending, &added.pending)
	if err != nil || errPending != nil {
		added.unreadable = true
	}
	for _, name := range []string{client, pendingClient} {
		if name != "" {
			c.rules[name] = append(c.rules[name], added)
		}
		if client == pendingClient {
			break
		}
	}
	if client == "" && pendingClient == "" {
		// The client that the rule protects is unknown, so it applies to all clients.
		c.rules[""] = append(c.rules[""], added)
	}
	return err
}

func decodeRule(spec json.RawMessage, regions *[]string) (string, error) {
	if len(spec) == 0 {
		return "", nil
	}
	var s wheelgauge.ResidencyRuleSpec
	if err := json.Unmarshal(spec, &s); err != nil {
		return "", fmt.Errorf("decode residency rule: %w", err)
	}
	*regions = s.Regions
	return s.Client, nil
}

func (c *Catalog) finish() {
	for _, r := range c.models {
		r.Engine = c.pools[r.Pool] == wheelgauge.PoolEngine
	}
	for _, r := range c.paths {
		r.Engine = c.pools[r.Pool] == wheelgauge.PoolEngine
	}
	c.regionNames = slices.Sorted(maps.Keys(c.regions))
	c.poolNames = slices.Sorted(maps.Keys(c.pools))
	slices.SortFunc(c.paths, func(a, b *Route) int { return len(b.Path) - len(a.Path) })
}

// Generation returns the generation of the configuration.
func (c *Catalog) Generation() uint64 { return c.generation }

// Resources returns the resources that the catalog was built from.
func (c *Catalog) Resources() []wheelgauge.Resource { return c.resources }

// DecodeErrors returns an error for each resource that could not be decoded.
func (c *Catalog) DecodeErrors() []error { return c.errs }

// PoolType returns the type of a pool, or "" if it is not configured.
func (c *Catalog) PoolType(pool string) string { return c.pools[pool] }

// Pools returns the names of all pools, sorted.
func (c *Catalog) Pools() []string { return c.poolNames }

// Region returns the spec of a region.
func (c *Catalog) Region(name string) wheelgauge.RegionSpec { return c.regions[name] }

// Regions returns the names of all regions, sorted.
func (c *Catalog) Regions() []string { return c.regionNames }

// Host returns a host, or nil.
func (c *Catalog) Host(name string) *Host { return c.hosts[name] }

// Hosts returns the hosts of a region.
func (c *Catalog) Hosts(region string) []*Host { return c.hostsByRegion[region] }

// Server returns a backend server, or nil.
func (c *Catalog) Server(name string) *Server { return c.servers[name] }

// Servers returns the backend servers of a pool in a region that should have the
// model. model is empty for plain services. If the model has no placement, every
// server of the pool has it.
func (c *Catalog) Servers(pool, region, model string) []*Server {
	all := c.byPoolRegion[poolRegion{pool, region}]
	versions, ok := c.placements[model]
	if !ok || model == "" {
		return all
	}
	out := make([]*Server, 0, len(all))
	for _, s := range all {
		if _, ok := versions[s.Name]; ok {
			out = append(out, s)
		}
	}
	return out
}

// Placement reports whether a model has placements, and returns the version that a
// server should have; ok is false if the server should not have the model.
func (c *Catalog) Placement(model, server string) (placed bool, version string, ok bool) {
	versions, placed := c.placements[model]
	version, ok = versions[server]
	return placed, version, ok
}

// PlacedModels returns the models that have placements, sorted.
func (c *Catalog) PlacedModels() []string { return slices.Sorted(maps.Keys(c.placements)) }

// Engines returns all backend servers of engine pools, sorted by name.
func (c *Catalog) Engines() []*Server {
	var out []*Server
	for _, name := range slices.Sorted(maps.Keys(c.servers)) {
		if s := c.servers[name]; c.pools[s.Pool] == wheelgauge.PoolEngine {
			out = append(out, s)
		}
	}
	return out
}

// ServersInRegion returns all backend servers of a region.
func (c *Catalog) ServersInRegion(region string) []*Server {
	var out []*Server
	for p, servers := range c.byPoolRegion {
		if p.region == region {
			out = append(out, servers...)
		}
	}
	return out
}

// RouteForModel returns the route of a model, or nil. A model name may have an
// adapter after a colon.
func (c *Catalog) RouteForModel(model string) *Route {
	base, _, _ := strings.Cut(model, ":")
	return c.models[base]
}

// RouteForPath returns the route with the longest prefix of path, or nil.
func (c *Catalog) RouteForPath(path string) *Route {
	for _, r := range c.paths {
		if strings.HasPrefix(path, r.Path) {
			return r
		}
	}
	return nil
}

// Class returns the limits of a client class; ok is false if it is not configured.
func (c *Catalog) Class(name string) (wheelgauge.ClientClassSpec, bool) {
	s, ok := c.classes[name]
	return s, ok
}

// ClaimStore returns the address of the store with a region's claims, or "" if
// there is none.
func (c *Catalog) ClaimStore(region string) string {
	h := c.hosts[c.regions[region].ClaimHost]
	if h == nil {
		return ""
	}
	return h.StoreAddress
}

// Allows reports whether a client's data may be processed in a region. Rules for
// the client and for its class must both allow it, pending rules included.
func (c *Catalog) Allows(id wheelgauge.Identity, region string) bool {
	for _, name := range [...]string{"", id.Client, classPrefix + id.Class} {
		for i := range c.rules[name] {
			if !c.rules[name][i].allows(region) {
				return false
			}
		}
	}
	return true
}

func (r *rule) allows(region string) bool {
	if r.unreadable {
		return false
	}
	if r.allowed != nil && !slices.Contains(r.allowed, region) {
		return false
	}
	return r.pending == nil || slices.Contains(r.pending, region)
}

// AllowedRegions returns the regions in which a client may be served, sorted.
func (c *Catalog) AllowedRegions(id wheelgauge.Identity) []string {
	var out []string
	for _, region := range c.Regions() {
		if c.Allows(id, region) {
			out = append(out, region)
		}
	}
	return out
}
