package routetable

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wheelgauge"
)

// shardCount bounds what a copy with one change costs: of 40,000 host names, a shard has ten.
const shardCount = 4096

// shards are the routes by host name, divided so that a copy with some changes copies only the
// parts that these are in. Each host's routes are sorted, the longest prefix first.
type shards [shardCount]map[string][]*wheelgauge.PathRoute

func shardOf(host string) int { return int(xxhash.Sum64String(host) % shardCount) }

func (s *shards) routes(host string) []*wheelgauge.PathRoute { return s[shardOf(host)][host] }

// with returns a copy with changed routes, by host name and prefix; nil removes one.
func (s *shards) with(changes map[string]map[string]*wheelgauge.PathRoute) *shards {
	out := *s
	var copied [len(out)]bool
	for host, routes := range changes {
		i := shardOf(host)
		if !copied[i] {
			copied[i] = true
			if out[i] = maps.Clone(out[i]); out[i] == nil {
				out[i] = map[string][]*wheelgauge.PathRoute{}
			}
		}
		if list := merged(out[i][host], routes); len(list) > 0 {
			out[i][host] = list
		} else {
			delete(out[i], host)
		}
	}
	return &out
}

// merged returns a host's routes with changes by prefix.
func merged(list []*wheelgauge.PathRoute, changes map[string]*wheelgauge.PathRoute) []*wheelgauge.PathRoute {
	out := make([]*wheelgauge.PathRoute, 0, len(list)+len(changes))
	for _, r := range list {
		if _, ok := changes[r.Prefix]; !ok {
			out = append(out, r)
		}
	}
	for _, r := range changes {
		if r != nil {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *wheelgauge.PathRoute) int {
		return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix))
	})
	return out
}
