package wheelgauge

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Names of tables that stores pass on.
const (
	// TableHosts holds the entry hosts, by name.
	TableHosts = "hosts"
	// TableRoutes holds the parts of the configuration.
	TableRoutes = "routes"
	// serversPrefix begins the names of the tables of a region's backend servers.
	serversPrefix = "servers/"
)

// ServersTable returns the name of the table of a region's backend servers.
func ServersTable(region string) string { return serversPrefix + region }

// ServersTableRegion returns the region whose backend servers a table holds; ok is false for
// other tables.
func ServersTableRegion(table string) (region string, ok bool) {
	return strings.CutPrefix(table, serversPrefix)
}

// TableRow is one row of a table, or its removal if the value is nil.
type TableRow struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"v,omitempty"`
}

// EncodeRow returns the row of a value.
func EncodeRow(key string, v any) (TableRow, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return TableRow{}, fmt.Errorf("encode row %s: %w", key, err)
	}
	return TableRow{Key: key, Value: value}, nil
}

// DecodeRow returns the value of a row, nil if the row is removed.
func DecodeRow[V any](row TableRow) (*V, error) {
	if row.Value == nil {
		return nil, nil
	}
	v := new(V)
	if err := json.Unmarshal(row.Value, v); err != nil {
		return nil, fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return v, nil
}

// HeldTable is what a requester holds of a table. Digests depend on the rows only, so they mean
// the same at each store.
type HeldTable struct {
	Table  string `json:"t"`
	Digest uint64 `json:"d,omitempty"`
	// Target and Offset continue a step that was received in part: its first Offset rows lead
	// from Digest towards Target.
	Target uint64 `json:"to,omitempty"`
	Offset int    `json:"o,omitempty"`
	// Buckets are the digests of all buckets, big-endian, sent after a response with Unknown set.
	Buckets []byte `json:"b,omitempty"`
	// From is the first bucket to compare with a table that is not complete.
	From int `json:"f,omitempty"`
}

// ChangesRequest asks a store for the changes of tables since what the requester holds.
type ChangesRequest struct {
	// Config is set for TableRoutes, which is requested alone, from any store that holds a newer
	// state; other requests are for all other tables. Generation is that of the state held.
	Config     bool   `json:"config,omitempty"`
	Generation uint64 `json:"generation,omitempty"`
	// Region is the requester's, whose servers come first. Only is the only table wanted, all if
	// empty.
	Region string      `json:"region,omitempty"`
	Only   string      `json:"only,omitempty"`
	Held   []HeldTable `json:"held,omitempty"`
	// MaxBytes bounds the rows of the response, in bytes before compression.
	MaxBytes int `json:"max_bytes"`
}

// TableChanges are changes of one table.
type TableChanges struct {
	Table string `json:"t"`
	// Digest is that of the store's table.
	Digest uint64 `json:"d"`
	// Unknown is set if the store does not know the digest held: the requester sends the digests
	// of its buckets.
	Unknown bool `json:"u,omitempty"`
	// After is the digest after a step of which these are the rows from Offset on. Partial is set
	// if more rows of the step follow.
	After   uint64 `json:"to,omitempty"`
	Offset  int    `json:"o,omitempty"`
	Partial bool   `json:"p,omitempty"`
	// Buckets are the numbers of buckets that consist of exactly these rows.
	Buckets []int `json:"b,omitempty"`
	// Incomplete is set if the store may lack rows of the table that others hold: the rows are
	// those of the buckets that differ, up to Next; 0 if up to the last one.
	Incomplete bool       `json:"i,omitempty"`
	Next       int        `json:"n,omitempty"`
	Rows       []TableRow `json:"r,omitempty"`
}

// ConfigHead is the replicated state besides the rows of TableRoutes.
type ConfigHead struct {
	Generation uint64 `json:"generation"`
	Version    uint64 `json:"version"`
	// Digest is that of the rows of this version.
	Digest       uint64   `json:"digest"`
	DrainedHalls []string `json:"drained,omitempty"`
	// Rollouts carry the time that each one has run until now.
	Rollouts []Rollout `json:"rollouts,omitempty"`
	// Crashes are those because of which requests are quarantined, for a host without a state.
	Crashes []Crash `json:"crashes,omitempty"`
	// HallOrders are the recent orders for halls, for a host without a state, which has seen no
	// drain end.
	HallOrders []HallOrder `json:"hall_orders,omitempty"`
}

// ChangesResponse has the changes of the tables that differ from what the requester holds, of all
// tables as far as they fit.
type ChangesResponse struct {
	Tables []TableChanges `json:"tables,omitempty"`
	// Config is sent with changes of TableRoutes.
	Config *ConfigHead `json:"config,omitempty"`
}
