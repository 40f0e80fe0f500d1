package serverset

import (
	"testing"
	"time"

	"wheelgauge"
)

func TestSource(t *testing.T) {
	tb, c, _ := table(engines, 3)
	tb.SetHolders([]wheelgauge.Server{
		{Instance: "far", Service: engines, Address: "far:1", Region: "busy"},
		{Instance: "idle", Service: engines, Address: "idle:1", Region: "calm"},
		{Instance: "app", Service: plain, Address: "app:1", Region: "busy"},
		{Instance: "leaving", Service: engines, Address: "leaving:1", Region: "busy", Leaving: true},
	})
	tb.SetBusy("busy")
	k := tb.Choose(NewJob(engines, about("x"), 1, nil))
	if k.Source() != "far:1" {
		t.Errorf("a subject that is new here comes from %q, want the busy region's server", k.Source())
	}
	k.Began()
	k.Done(Served)
	if k := tb.Choose(NewJob(engines, about("x"), 1, nil)); k.Source() != "" {
		t.Errorf("a subject just used is fetched from %q", k.Source())
	}
	// Another server of the region gets it from the one that has it.
	other := tb.Choose(NewJob(engines, about("x"), 1, []string{k.Server().Instance()}))
	if other.Source() != k.Server().Address() {
		t.Errorf("fetched from %q, want %q", other.Source(), k.Server().Address())
	}
	c.pass(heldFor + time.Second)
	if k := tb.Choose(NewJob(engines, about("x"), 1, nil)); k.Source() != "far:1" {
		t.Errorf("a subject that rested comes from %q", k.Source())
	}
}

// A subject stays with the server that holds it for as long as a short queue there
// costs users less than a move; a long one makes it move.
func TestMovesOnlyFromAQueue(t *testing.T) {
	tests := []struct {
		name   string
		tokens int // of other prompts ahead at the holder
		stays  bool
	}{
		{"idle", 0, true},
		{"a short queue", 8_000, true},
		{"a long queue", 80_000, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, _, _ := table(engines, 2)
			k := tb.Choose(NewJob(engines, about("x"), 1, nil))
			holder := k.Server().Instance()
			k.Began()
			k.Done(Served)
			work := wheelgauge.Work{{Rank: 1, Running: 1, Tokens: tt.tokens}}
			tb.SetUses([]wheelgauge.ServerUse{{Instance: holder, Running: 1, Tokens: tt.tokens, Work: work}})
			if got := tb.Choose(NewJob(engines, about("x"), 1, nil)).Server().Instance(); (got == holder) != tt.stays {
				t.Errorf("went to %s, its holder is %s, want it to stay: %v", got, holder, tt.stays)
			}
		})
	}
}
