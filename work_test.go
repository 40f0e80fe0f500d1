package wheelgauge

import (
	"fmt"
	"testing"
)

func ExampleWork() {
	w := Work{}.Add(0, 1, 100).Add(2, 1, 6000).Add(0, 1, 50)
	fmt.Println(w.Ahead(0))
	fmt.Println(w.Ahead(2))
	fmt.Println(w.Minus(Work{{Rank: 2, Running: 1, PrefillTokens: 7000}}).Total())
	// Output:
	// 2 150
	// 3 6150
	// 2 150
}

func TestWorkIsNotShared(t *testing.T) {
	a := Work{}.Add(1, 1, 10)
	sum := a.Plus(Work{{Rank: 1, Running: 2, PrefillTokens: 5}, {Rank: 3, Running: 1}})
	if running, tokens := a.Total(); running != 1 || tokens != 10 {
		t.Errorf("Plus changed its receiver: %v", a)
	}
	if running, tokens := sum.Ahead(1); running != 3 || tokens != 15 {
		t.Errorf("got %d requests, %d tokens of rank 1, want 3, 15", running, tokens)
	}
	if got := sum.Minus(sum).NonZero(); len(got) != 0 {
		t.Errorf("got %v after subtracting everything, want nothing in flight", got)
	}
}
