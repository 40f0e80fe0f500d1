package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"wheelgauge"
)

func origin(id, version string, ttl time.Duration) wheelgauge.StreamOrigin {
	return wheelgauge.StreamOrigin{Key: wheelgauge.NewStreamKey(id), Service: "s", Version: version, TTLMS: ttl.Milliseconds()}
}

func ExampleTable() {
	t := New(100, time.Now)
	t.Add(origin("9c41d07be2a35f68", "v1.1", time.Minute))
	o, ok := t.Find(wheelgauge.NewStreamKey("9c41d07be2a35f68"))
	fmt.Println(o.Service, o.Version, ok)
	_, ok = t.Find(wheelgauge.NewStreamKey("another"))
	fmt.Println(ok)
	// Output:
	// s v1.1 true
	// false
}

func TestWhatIsNotKnownIsNotFound(t *testing.T) {
	const ttl = 10 * time.Second
	tests := []struct {
		name  string
		added []wheelgauge.StreamOrigin
		after time.Duration
		want  string // version; empty if none is found
	}{
		{"added", []wheelgauge.StreamOrigin{origin("a", "v1", ttl)}, ttl - time.Second, "v1"},
		{"expired", []wheelgauge.StreamOrigin{origin("a", "v1", ttl)}, ttl, ""},
		{"added again", []wheelgauge.StreamOrigin{origin("a", "v1", ttl), origin("a", "v1", 2*ttl)}, ttl, "v1"},
		{"added again for less", []wheelgauge.StreamOrigin{origin("a", "v1", ttl), origin("a", "v1", 0)}, time.Second, "v1"},
		{"two origins of one stream", []wheelgauge.StreamOrigin{origin("a", "v1", ttl), origin("a", "v2", ttl)}, 0, ""},
		{"two, and the first again", []wheelgauge.StreamOrigin{origin("a", "v1", ttl), origin("a", "v2", ttl), origin("a", "v1", ttl)}, 0, ""},
		{"another stream", []wheelgauge.StreamOrigin{origin("b", "v1", ttl)}, 0, ""},
		{"negative time", []wheelgauge.StreamOrigin{origin("a", "v1", -ttl)}, 0, ""},
		{"a table that is full", []wheelgauge.StreamOrigin{origin("b", "v1", ttl), origin("c", "v1", ttl), origin("a", "v1", ttl)}, 0, ""},
		{"a table full of what has expired", []wheelgauge.StreamOrigin{origin("b", "v1", 0), origin("c", "v1", 0), origin("a", "v1", ttl)}, 0, "v1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			at := time.Unix(1000, 0)
			tb := New(2, func() time.Time { return at })
			tb.Add(tt.added...)
			at = at.Add(tt.after)
			if o, ok := tb.Find(wheelgauge.NewStreamKey("a")); ok != (tt.want != "") || o.Version != tt.want {
				t.Errorf("got %+v, %v, want version %q", o, ok, tt.want)
			}
			for _, o := range tb.All() {
				if o.TTL() <= 0 {
					t.Errorf("got %+v among all, which has expired", o)
				}
			}
			at = at.Add(time.Hour)
			if tb.Prune(); tb.Len() != 0 {
				t.Errorf("got %d origins after an hour, want none", tb.Len())
			}
		})
	}
}
