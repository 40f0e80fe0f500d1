package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"wheelgauge"
)

const rolloutHeader = "SERVICE\tTARGET\tSTATE\tSHIFTING\tLEFT\tCAUSE"

func rolloutCommand(o *options) *cobra.Command {
	c := &cobra.Command{
		Use: "rollout", Short: "Roll a service out to another version, in the routes mode",
		Example: `  wheelgaugectl rollout start chat v2 --duration 2m
  wheelgaugectl rollout status chat
  wheelgaugectl rollout abort chat`,
	}
	c.AddCommand(rolloutStartCommand(o), rolloutStatusCommand(o), rolloutAbortCommand(o))
	return c
}

func rolloutStartCommand(o *options) *cobra.Command {
	var duration time.Duration
	c := &cobra.Command{
		Use: "start SERVICE VERSION", Short: "Start a rollout", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			order := wheelgauge.RolloutOrder{Service: args[0], Version: args[1], DurationMS: duration.Milliseconds()}
			if err := client.StartRollout(c.Context(), order); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "rollout of %s to %s is in progress\n", args[0], args[1])
			return err
		},
	}
	c.Flags().DurationVar(&duration, "duration", 2*time.Minute, "time limit of the rollout")
	return c
}

func rolloutStatusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "status SERVICE", Short: "Show the latest rollout of a service", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			r, err := client.Rollout(c.Context(), args[0])
			if err != nil {
				return err
			}
			row := []string{r.Service, r.Version, string(r.State), fmt.Sprint(r.Shifting), max(0, r.Left()).String(), r.Cause}
			return o.print(c.OutOrStdout(), r, rolloutHeader, [][]string{row})
		},
	}
}

func rolloutAbortCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "abort SERVICE", Short: "Abort a rollout in progress and roll it back", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			if err := client.AbortRollout(c.Context(), args[0]); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "rollout of %s is rolled back\n", args[0])
			return err
		},
	}
}
