package main

import (
	"errors"

	"wheelgauge/load"
	"wheelgauge/settings"
)

const (
	name = "wheelgauge-load"
	long = `wheelgauge-load sends a mix of requests in an open loop: arrival times are fixed
in advance by the seed, and latency is measured from the intended start. It
prints a report and exits non-zero if a response was wrong, mixed up or truncated.`
	example = "  wheelgauge-load --config scenario.ini"
)

var keys = []settings.Key{
	{Section: "load", Name: "mix", Type: settings.Choice, Choices: []string{load.MixDispatch, load.MixParkline}, Required: true, Help: "mix of requests to send"},
	{Section: "load", Name: "duration", Type: settings.Duration, Default: "20s", Min: 0.1, Max: 86400, Help: "duration of the run, which simulates one day"},
	{Section: "load", Name: "rate", Type: settings.Float, Default: "40", Min: 0.01, Max: 100000, Help: "average requests per second over all regions"},
	{Section: "load", Name: "peak", Type: settings.Float, Default: "0.5", Min: 0, Max: 1, Help: "height of the daily peak above the average, as a fraction of it"},
	{Section: "load", Name: "seed", Type: settings.Int, Default: "1", Help: "seed of arrivals, clients and lengths"},
	{Section: "load", Name: "clients", Type: settings.Int, Default: "6", Min: 1, Max: 10000, Help: "number of clients in each region"},
	{Section: "load", Name: "flood", Type: settings.Float, Default: "1", Min: 1, Max: 1000, Help: "factor of the request rate of the first client in each region"},
	{Section: "load", Name: "scale", Type: settings.Float, Default: "1", Min: 0.01, Max: 100, Help: "factor of the lengths of prompts and responses"},
	{Section: "load", Name: "link_cost", Type: settings.Float, Default: "0", Max: 1e6, Help: "cost of one response from another region, in addition to its tokens"},
	{Section: "load", Name: "report", Type: settings.Text, Help: "file to which the report is written as JSON"},
	{Section: "regions", Name: "names", Type: settings.List, Required: true, Help: "regions of the callers"},
	{Section: "regions", Name: "entries", Type: settings.List, Required: true, Help: "one caller address of each region, from which entry lists are fetched"},
	{Section: "regions", Name: "prices", Type: settings.List, Required: true, Help: "price per 1,000 tokens in each region"},
}

func check(v *settings.Values) error {
	n := len(v.List("regions", "names"))
	if len(v.List("regions", "entries")) != n || len(v.List("regions", "prices")) != n {
		return errors.New("[regions]: expected as many entries and prices as names")
	}
	return nil
}
