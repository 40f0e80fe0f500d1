package bodybudget

import "testing"

func TestBudget(t *testing.T) {
	steps := []struct {
		name    string
		reserve int64
		release int64
		ok      bool
		held    int64
		refused int64
	}{
		{"first", 6, 0, true, 6, 0},
		{"too much", 5, 0, false, 6, 1},
		{"the rest", 4, 0, true, 10, 1},
		{"nothing is left", 1, 0, false, 10, 2},
		{"nothing is needed", 0, 0, true, 10, 2},
		{"given back", 0, 6, true, 4, 2},
		{"again", 6, 0, true, 10, 2},
		{"larger than any int", 1<<63 - 1, 0, false, 10, 3},
	}
	b := New(10)
	for _, s := range steps {
		b.Release(s.release)
		ok := b.Reserve(s.reserve)
		if held, refused := b.Held(); ok != s.ok || held != s.held || refused != s.refused {
			t.Errorf("%s: got %v, %d bytes, %d refused, want %v, %d, %d", s.name, ok, held, refused, s.ok, s.held, s.refused)
		}
	}
	if none := New(0); !none.Reserve(1 << 40) {
		t.Error("a budget without a bound refused")
	}
}
