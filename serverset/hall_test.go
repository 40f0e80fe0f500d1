package serverset

import (
	"fmt"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/prompt"
)

const enginesPerHall = 16

// twoHalls returns the table of a host in hall h, with the same number of engines in
// halls h and g.
func twoHalls(each int) *Table {
	c := &clock{at: time.Unix(1000, 0)}
	tb := New(Place{Host: "a", Hall: "h", Peers: []string{"a"}}, testServiceConfig, c.now)
	var list []wheelgauge.Server
	for _, hall := range []string{"g", "h"} {
		for i := range each {
			list = append(list, wheelgauge.Server{Instance: fmt.Sprint(hall, i), Service: engines, Address: "127.0.0.1:1", Hall: hall, Slots: 24})
		}
	}
	tb.replaceList(list, c.at)
	return tb
}

// A hall whose engines are full sends its requests to the other one.
func TestFullHallOverflows(t *testing.T) {
	tb := twoHalls(enginesPerHall)
	var uses []wheelgauge.ServerUsage
	for i := range enginesPerHall {
		work := wheelgauge.Work{{Rank: 1, Running: 40, PrefillTokens: 200_000}}
		uses = append(uses, wheelgauge.ServerUsage{Instance: fmt.Sprint("h", i), Running: 40, PrefillTokens: 200_000, Work: work})
	}
	tb.SetUses(uses)
	for i := range 20 {
		p := prompt.Parse(fmt.Sprintf("sys:500,s%d:5000,own%d:6000", i, i), "11500,300", "")
		if k := tb.Choose(NewJob(engines, p, 1, nil)); k.Server().spec.Hall != "g" {
			t.Errorf("request went to %s, want an idle engine of the other hall", k.Server().Instance())
		}
	}
}
