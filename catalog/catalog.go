// Package catalog turns resources into the typed, immutable form that requests
// are decided by.
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

// classPrefix marks a residency rule for all clients of a class.
const classPrefix = "class:"

// Host is an entry host.
type Host struct {
	Name string
	Hash uint64
	wheelgauge.HostSpec
}

// Server is a backend server.
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
}

type place struct{ pool, region string }

// rule is a residency rule; broken ones refuse every place.
type rule struct {
	allowed []string
	pending []string
	broken  bool
}

// Catalog is one generation of the configuration.
type Catalog struct {
	generation uint64
	resources  []wheelgauge.Resource
	regions    map[string]wheelgauge.RegionSpec
	hosts      map[string]*Host
	byRegion   map[string][]*Host
	servers    map[string]*Server
	byPlace    map[place][]*Server
	placed     map[string]map[string]string // version by server, by model
	models     map[string]*Route
	paths      []*Route
	classes    map[string]wheelgauge.ClientClassSpec
	rules      map[string][]rule
	pools      map[string]string
	faults     []error
	// The names are sorted once, as requests ask for them.
	regionNames []string
	poolNames   []string
}

// Build makes a catalog. A resource that cannot be read is left out and named
// by Faults; a residency rule that cannot be read refuses every place.
func Build(generation uint64, resources []wheelgauge.Resource) *Catalog {
	c := &Catalog{
		generation: generation, resources: resources,
		regions: map[string]wheelgauge.RegionSpec{}, hosts: map[string]*Host{}, byRegion: map[string][]*Host{},
		servers: map[string]*Server{}, byPlace: map[place][]*Server{}, placed: map[string]map[string]string{},
		models: map[string]*Route{}, classes: map[string]wheelgauge.ClientClassSpec{}, rules: map[string][]rule{}, pools: map[string]string{},
	}
	for i := range resources {
		if err := c.add(&resources[i]); err != nil {
			c.faults = append(c.faults, fmt.Errorf("%s %s: %w", resources[i].Kind, resources[i].Name, err))
		}
	}
	c.finish()
	return c
}

func (c *Catalog) add(r *wheelgauge.Resource) error {
	switch r.Kind {
	case wheelgauge.KindRegion:
		return read(r.Spec, func(s wheelgauge.RegionSpec) { c.regions[r.Name] = s })
	case wheelgauge.KindPool:
		return read(r.Spec, func(s wheelgauge.PoolSpec) { c.pools[r.Name] = s.Type })
	case wheelgauge.KindHost:
		return read(r.Spec, func(s wheelgauge.HostSpec) { c.addHost(r.Name, s) })
	case wheelgauge.KindBackendServer:
		return read(r.Spec, func(s wheelgauge.BackendServerSpec) { c.addServer(r.Name, s) })
	case wheelgauge.KindPlacement:
		return read(r.Spec, c.addPlacement)
	case wheelgauge.KindRoute:
		return read(r.Spec, func(s wheelgauge.RouteSpec) { c.addRoute(r.Name, s) })
	case wheelgauge.KindClientClass:
		return read(r.Spec, func(s wheelgauge.ClientClassSpec) { c.classes[r.Name] = s })
	case wheelgauge.KindResidencyRule:
		return c.addRule(r)
	default:
		return nil
	}
}

func read[T any](spec json.RawMessage, use func(T)) error {
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
	c.byRegion[s.Region] = append(c.byRegion[s.Region], h)
}

func (c *Catalog) addServer(name string, s wheelgauge.BackendServerSpec) {
	server := &Server{Name: name, Hash: rendezvous.Hash(name), BackendServerSpec: s}
	c.servers[name] = server
	p := place{s.Pool, s.Region}
	c.byPlace[p] = append(c.byPlace[p], server)
}

func (c *Catalog) addPlacement(s wheelgauge.PlacementSpec) {
	model := s.Model
	if c.placed[model] == nil {
		c.placed[model] = map[string]string{}
	}
	for _, server := range s.Servers {
		c.placed[model][server] = s.Version
	}
}

func (c *Catalog) addRoute(name string, s wheelgauge.RouteSpec) {
	route := &Route{Name: name, RouteSpec: s}
	if s.Model != "" {
		c.models[s.Model] = route
		return
	}
	c.paths = append(c.paths, route)
}

func (c *Catalog) addRule(r *wheelgauge.Resource) error {
	var one rule
	client, err := readRule(r.Spec, &one.allowed)
	next, errPending := readRule(r.Pending, &one.pending)
	if err != nil || errPending != nil {
		one.broken = true
	}
	for _, name := range []string{client, next} {
		if name != "" {
			c.rules[name] = append(c.rules[name], one)
		}
		if client == next {
			break
		}
	}
	if client == "" && next == "" {
		// Whom it protects is not known: nobody may be served past it.
		c.rules[""] = append(c.rules[""], one)
	}
	return err
}

func readRule(spec json.RawMessage, regions *[]string) (string, error) {
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

// Resources returns what the catalog was built from.
func (c *Catalog) Resources() []wheelgauge.Resource { return c.resources }

// Faults returns the resources that could not be read.
func (c *Catalog) Faults() []error { return c.faults }

// PoolType returns the type of a pool; empty when it is not configured.
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
func (c *Catalog) Hosts(region string) []*Host { return c.byRegion[region] }

// Server returns a backend server, or nil.
func (c *Catalog) Server(name string) *Server { return c.servers[name] }

// Servers returns the backend servers of a pool in a region that hold model;
// model is empty for plain services. Without any placement of the model, every
// server of the pool holds it.
func (c *Catalog) Servers(pool, region, model string) []*Server {
	all := c.byPlace[place{pool, region}]
	placed, ok := c.placed[model]
	if !ok || model == "" {
		return all
	}
	out := make([]*Server, 0, len(all))
	for _, s := range all {
		if _, ok := placed[s.Name]; ok {
			out = append(out, s)
		}
	}
	return out
}

// Placed tells whether a model has placements, and the version that a server
// should hold; ok is false when it should not hold the model.
func (c *Catalog) Placed(model, server string) (placed bool, version string, ok bool) {
	at, placed := c.placed[model]
	version, ok = at[server]
	return placed, version, ok
}

// Models returns the models that have placements, sorted.
func (c *Catalog) Models() []string { return slices.Sorted(maps.Keys(c.placed)) }

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

// RegionServers returns all backend servers of a region.
func (c *Catalog) RegionServers(region string) []*Server {
	var out []*Server
	for p, servers := range c.byPlace {
		if p.region == region {
			out = append(out, servers...)
		}
	}
	return out
}

// RouteForModel returns the route of a model, or nil. A model name may carry
// an adapter after a colon.
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

// Class returns the limits of a class; ok is false when it is not configured.
func (c *Catalog) Class(name string) (wheelgauge.ClientClassSpec, bool) {
	s, ok := c.classes[name]
	return s, ok
}

// ClaimStore returns the address of the store that keeps a region's claims;
// empty when there is none.
func (c *Catalog) ClaimStore(region string) string {
	h := c.hosts[c.regions[region].Claims]
	if h == nil {
		return ""
	}
	return h.Store
}

// Allows tells whether a client's data may be processed in a region. Rules for
// the client and for its class both hold, and so do pending ones.
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
	if r.broken {
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
