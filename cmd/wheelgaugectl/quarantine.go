package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"wheelgauge"
)

const quarantineHeader = "FINGERPRINT\tHOLDS\tCRASHES"

func quarantineCommand(o *options) *cobra.Command {
	c := &cobra.Command{
		Use: "quarantine", Short: "Show and release what crashes backend servers, in the routes mode",
		Example: `  wheelgaugectl quarantine list
  wheelgaugectl quarantine release kP3vYw1zq0s`,
	}
	c.AddCommand(quarantineListCommand(o), quarantineReleaseCommand(o))
	return c
}

func quarantineListCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "Show the requests and parts of prompts in quarantine", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			list, err := client.Quarantined(c.Context())
			if err != nil {
				return err
			}
			rows := make([][]string, 0, len(list))
			for _, q := range list {
				holds := "one request"
				if q.Part {
					holds = "all with a part"
				}
				rows = append(rows, []string{string(q.Fingerprint), holds, fmt.Sprint(q.Crashes)})
			}
			return o.print(c.OutOrStdout(), list, quarantineHeader, rows)
		},
	}
}

func quarantineReleaseCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "release FINGERPRINT", Short: "Let a request or part reach backend servers again", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			if err := client.ReleaseQuarantined(c.Context(), wheelgauge.Fingerprint(args[0])); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s is released\n", args[0])
			return err
		},
	}
}
