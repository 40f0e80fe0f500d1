package tabledigest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// Digests depend on the rows held, not on the order of changes.
func TestDigestDependsOnRowsOnly(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 3))
		held := map[string]string{}
		var changed, fresh Digest
		for range 300 {
			key, value := fmt.Sprint("k", r.IntN(50)), fmt.Sprint("v", r.IntN(4))
			if old, ok := held[key]; ok {
				changed.Remove(Bucket(key), Row(key, []byte(old)))
				delete(held, key)
			}
			if r.IntN(3) > 0 {
				held[key] = value
				changed.Add(Bucket(key), Row(key, []byte(value)))
			}
		}
		for key, value := range held {
			fresh.Add(Bucket(key), Row(key, []byte(value)))
		}
		if changed.Sum() != fresh.Sum() || !slices.Equal(changed.Bytes(), fresh.Bytes()) || len(fresh.Differing(changed.Bytes())) > 0 {
			t.Fatalf("seed %d: digests of the same rows differ", seed)
		}
	}
}

func TestDiffering(t *testing.T) {
	var a, b, empty Digest
	for _, key := range []string{"x", "y"} {
		a.Add(Bucket(key), Row(key, nil))
		b.Add(Bucket(key), Row(key, nil))
	}
	b.Add(Bucket("z"), Row("z", nil))
	tests := []struct {
		name    string
		mine    *Digest
		encoded []byte
		want    []int
	}{
		{"one more row", &b, a.Bytes(), []int{Bucket("z")}},
		{"one row less", &a, b.Bytes(), []int{Bucket("z")}},
		{"nothing held", &a, nil, slices.Sorted(slices.Values([]int{Bucket("x"), Bucket("y")}))},
		{"nothing to hold", &empty, nil, nil},
		{"torn digests", &empty, a.Bytes()[:9], nil},
	}
	for _, tt := range tests {
		if got := tt.mine.Differing(tt.encoded); !slices.Equal(got, tt.want) {
			t.Errorf("%s: got buckets %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestCombine(t *testing.T) {
	if Combine(Combine(0, "a", 1), "b", 2) != Combine(Combine(0, "b", 2), "a", 1) {
		t.Error("the combined digest depends on the order of tables")
	}
	if Combine(0, "a", 2) == Combine(0, "b", 2) || Combine(7, "a", 0) != 7 {
		t.Error("tables are confused, or empty ones count")
	}
}
