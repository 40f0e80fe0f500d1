package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"

	"github.com/go-logr/logr"

	"wheelgauge/load"
	"wheelgauge/settings"
)

var errWrongAnswers = errors.New("responses were wrong, mixed up or truncated")

func run(ctx context.Context, v *settings.Values, _ logr.Logger) error {
	s, err := scenarioFrom(v)
	if err != nil {
		return err
	}
	report := load.Summarise(s, load.NewRunner(s).Run(ctx))
	if err := report.WriteTable(os.Stdout); err != nil {
		return err
	}
	if err := saveReport(v.Text("load", "report"), &report); err != nil {
		return err
	}
	if len(report.Wrong) > 0 {
		return errWrongAnswers
	}
	return nil
}

func scenarioFrom(v *settings.Values) (load.Scenario, error) {
	s := load.Scenario{
		Mix: v.Text("load", "mix"), Duration: v.Duration("load", "duration"), Rate: v.Float("load", "rate"),
		Peak: v.Float("load", "peak"), Seed: uint64(v.Int("load", "seed")), Clients: v.Int("load", "clients"),
		Flood: v.Float("load", "flood"), LengthFactor: v.Float("load", "scale"), LinkCost: v.Float("load", "link_cost"),
	}
	entries, prices := v.List("regions", "entries"), v.List("regions", "prices")
	for i, name := range v.List("regions", "names") {
		price, err := strconv.ParseFloat(prices[i], 64)
		if err != nil {
			return s, fmt.Errorf("[regions] prices: %w", err)
		}
		s.Regions = append(s.Regions, load.Region{Name: name, Entry: entries[i], Price: price})
	}
	return s, nil
}

func saveReport(path string, report *load.Report) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create report: %w", err)
	}
	return errors.Join(report.WriteJSON(f), f.Close())
}
