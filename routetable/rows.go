package routetable

import (
	"errors"
	"fmt"
	"strings"

	"wheelgauge"
)

// Prefixes of the keys of a configuration's rows.
const (
	routeKey     = "route/"
	serviceKey   = "service/"
	workspaceKey = "workspace/"
	limitsKey    = "limits"
)

// routeRowKey identifies a route by its host name and path prefix, of which a valid configuration
// has no other.
func routeRowKey(r *wheelgauge.PathRoute) string {
	return routeKey + strings.ToLower(r.Host) + r.Prefix
}

// Rows returns a valid configuration as rows of a table, without its version.
func Rows(set *wheelgauge.RouteSet) ([]wheelgauge.TableRow, error) {
	out := make([]wheelgauge.TableRow, 0, len(set.Routes)+len(set.Services)+len(set.Workspaces)+1)
	add := func(key string, v any) error {
		row, err := wheelgauge.EncodeRow(key, v)
		out = append(out, row)
		return err
	}
	if err := add(limitsKey, set.Limits); err != nil {
		return nil, err
	}
	for i := range set.Services {
		if err := add(serviceKey+set.Services[i].Name, set.Services[i]); err != nil {
			return nil, err
		}
	}
	for i := range set.Workspaces {
		if err := add(workspaceKey+set.Workspaces[i].Name, set.Workspaces[i]); err != nil {
			return nil, err
		}
	}
	for i := range set.Routes {
		if err := add(routeRowKey(&set.Routes[i]), set.Routes[i]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// changes are the parts of a configuration that differ from those of another one; nil entries
// are removed.
type changes struct {
	limits     *wheelgauge.CallerLimits
	services   map[string]*wheelgauge.Service
	workspaces map[string]*wheelgauge.Workspace
	// routes are by host name in lower case and by prefix.
	routes map[string]map[string]*wheelgauge.PathRoute
}

func newChanges() changes {
	return changes{services: map[string]*wheelgauge.Service{}, workspaces: map[string]*wheelgauge.Workspace{}, routes: map[string]map[string]*wheelgauge.PathRoute{}}
}

func (c *changes) setRoute(host, prefix string, r *wheelgauge.PathRoute) {
	host = strings.ToLower(host)
	if c.routes[host] == nil {
		c.routes[host] = map[string]*wheelgauge.PathRoute{}
	}
	c.routes[host][prefix] = r
}

func decodeRows(rows []wheelgauge.TableRow) (changes, error) {
	c := newChanges()
	for _, row := range rows {
		if err := c.add(row); err != nil {
			return c, err
		}
	}
	return c, nil
}

var errUnknownRow = errors.New("unknown kind of row")

// add adds one row.
func (c *changes) add(row wheelgauge.TableRow) error {
	if row.Key == limitsKey {
		var err error
		c.limits, err = wheelgauge.DecodeRow[wheelgauge.CallerLimits](row)
		return err
	}
	if name, ok := strings.CutPrefix(row.Key, serviceKey); ok {
		v, err := wheelgauge.DecodeRow[wheelgauge.Service](row)
		c.services[name] = v
		return err
	}
	if name, ok := strings.CutPrefix(row.Key, workspaceKey); ok {
		v, err := wheelgauge.DecodeRow[wheelgauge.Workspace](row)
		c.workspaces[name] = v
		return err
	}
	name, ok := strings.CutPrefix(row.Key, routeKey)
	slash := strings.IndexByte(name, '/')
	if !ok || slash < 0 {
		return fmt.Errorf("row %s: %w", row.Key, errUnknownRow)
	}
	v, err := wheelgauge.DecodeRow[wheelgauge.PathRoute](row)
	c.setRoute(name[:slash], name[slash:], v)
	return err
}
