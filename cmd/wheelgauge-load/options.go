package main

import (
	"errors"

	"wheelgauge/load"
	"wheelgauge/settings"
)

const (
	name = "wheelgauge-load"
	long = `wheelgauge-load sends a user's mix of requests in open loop: arrival times are
fixed beforehand by the seed, and latency counts from the intended start. It
prints a report and exits non-zero if an answer was wrong, mixed or cut.`
	example = "  wheelgauge-load --config scenario.ini"
)

var keys = []settings.Key{
	{Section: "load", Name: "mix", Type: settings.Choice, Choices: []string{load.MixDispatch, load.MixParkline}, Required: true, Help: "whose requests are sent"},
	{Section: "load", Name: "duration", Type: settings.Duration, Default: "20s", Min: 0.1, Max: 86400, Help: "length of the run, which stands for a day"},
	{Section: "load", Name: "rate", Type: settings.Float, Default: "40", Min: 0.01, Max: 100000, Help: "requests a second over all regions, on average"},
	{Section: "load", Name: "peak", Type: settings.Float, Default: "0.5", Min: 0, Max: 1, Help: "how far the daily peak rises over the average"},
	{Section: "load", Name: "seed", Type: settings.Int, Default: "1", Help: "seed of arrivals, clients and lengths"},
	{Section: "load", Name: "clients", Type: settings.Int, Default: "6", Min: 1, Max: 10000, Help: "clients of each region"},
	{Section: "load", Name: "flood", Type: settings.Float, Default: "1", Min: 1, Max: 1000, Help: "how many times as much the first client sends"},
	{Section: "load", Name: "scale", Type: settings.Float, Default: "1", Min: 0.01, Max: 100, Help: "factor of the lengths of prompts and answers"},
	{Section: "load", Name: "link_cost", Type: settings.Float, Default: "0", Max: 1e6, Help: "cost of one answer from another region, besides its tokens"},
	{Section: "load", Name: "report", Type: settings.Text, Help: "file for the report as JSON"},
	{Section: "regions", Name: "names", Type: settings.List, Required: true, Help: "regions that callers are in"},
	{Section: "regions", Name: "entries", Type: settings.List, Required: true, Help: "one caller address of each region, to ask for entry lists"},
	{Section: "regions", Name: "prices", Type: settings.List, Required: true, Help: "price of 1,000 tokens in each region"},
}

func check(v *settings.Values) error {
	n := len(v.List("regions", "names"))
	if len(v.List("regions", "entries")) != n || len(v.List("regions", "prices")) != n {
		return errors.New("[regions]: expected as many entries and prices as names")
	}
	return nil
}
