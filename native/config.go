package native

import (
	"bytes"
	"encoding/json"
	"fmt"

	"wheelgauge"
)

// MaxBodyBytes is the size of the largest configuration that is accepted.
const MaxBodyBytes = 8 << 20

// Decode decodes a wheelgauge.RouteSet from JSON. Unknown fields are errors, so
// that a misspelled one is not silently ignored.
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
