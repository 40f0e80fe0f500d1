package native

import (
	"bytes"
	"encoding/json"
	"fmt"

	"wheelgauge"
)

// MostBodySize is the largest configuration that is read, in bytes.
const MostBodySize = 8 << 20

// Decode reads a wheelgauge.RouteSet in JSON. Unknown fields are errors: a
// misspelt one would else be passed over in silence.
func Decode(body []byte) (*wheelgauge.RouteSet, error) {
	set := &wheelgauge.RouteSet{}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(set); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if set.Version == 0 {
		return nil, fmt.Errorf("version: missing")
	}
	return set, nil
}
