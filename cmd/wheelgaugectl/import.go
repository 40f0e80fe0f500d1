package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"wheelgauge"
	"wheelgauge/certs"
)

const importFields = 3

func importCommand(o *options) *cobra.Command {
	var dryRun bool
	c := &cobra.Command{
		Use: "import FILE", Short: "Make routes from a list of what an old script served", Args: cobra.ExactArgs(1),
		Long: `Each line of the list is "model NAME ADDRESS" or "path PREFIX ADDRESS"; lines that
begin with # are left out. A route is made for each whose requests all take the
old path. Move it over by lowering old_path.share, and back by raising it.`,
		Example: "  wheelgaugectl import old-depots.txt\n  # old-depots.txt: path stock/ 10.0.3.7:8080",
		RunE: func(c *cobra.Command, args []string) error {
			list, err := importList(args[0])
			if err != nil {
				return err
			}
			client, err := o.client()
			if err != nil {
				return err
			}
			_, err = applyAll(c, client, list, "", dryRun, true)
			return err
		},
	}
	c.Flags().BoolVar(&dryRun, "dry-run", false, "only check")
	return c
}

func importList(file string) ([]wheelgauge.Resource, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("open list: %w", err)
	}
	defer f.Close()
	var out []wheelgauge.Resource
	scanner := bufio.NewScanner(f)
	for number := 1; scanner.Scan(); number++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		made, err := importLine(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, number, err)
		}
		out = append(out, made...)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read list: %w", err)
	}
	return out, nil
}

// importLine makes the pool and the route of one line.
func importLine(line string) ([]wheelgauge.Resource, error) {
	part := strings.Fields(line)
	if len(part) != importFields {
		return nil, fmt.Errorf("expected \"model NAME ADDRESS\" or \"path PREFIX ADDRESS\", got %q", line)
	}
	if _, err := netip.ParseAddrPort(part[2]); err != nil {
		return nil, fmt.Errorf("expected an address such as 10.0.0.1:8080, got %q", part[2])
	}
	name := "old-" + strings.Trim(strings.ReplaceAll(part[1], "/", "-"), "-")
	pool := wheelgauge.PoolSpec{Type: wheelgauge.PoolService}
	route := wheelgauge.RouteSpec{Pool: name, OldPath: &wheelgauge.OldPath{Address: part[2], Share: 1}}
	switch part[0] {
	case "model":
		pool.Type, route.Model = wheelgauge.PoolEngine, part[1]
	case "path":
		route.Path = part[1]
	default:
		return nil, fmt.Errorf("expected model or path, got %q", part[0])
	}
	poolSpec, err := json.Marshal(pool)
	if err != nil {
		return nil, fmt.Errorf("encode pool: %w", err)
	}
	routeSpec, err := json.Marshal(route)
	if err != nil {
		return nil, fmt.Errorf("encode route: %w", err)
	}
	return []wheelgauge.Resource{
		{Kind: wheelgauge.KindPool, Name: name, Spec: poolSpec},
		{Kind: wheelgauge.KindRoute, Name: name, Spec: routeSpec},
	}, nil
}

func certsCommand() *cobra.Command {
	var dir string
	var life time.Duration
	c := &cobra.Command{
		Use: "certs NAME IP...", Short: "Make a certificate for a host, and the authority if there is none", Args: cobra.MinimumNArgs(2),
		Example: "  wheelgaugectl certs khi-1 10.0.0.1 --dir certs",
		Long: `Certs writes NAME.pem and NAME.key, signed by the authority in the folder. Running
processes take new files in without a restart. Keep authority.key off the hosts.`,
		RunE: func(_ *cobra.Command, args []string) error {
			a, err := certs.Open(dir)
			if err != nil {
				return err
			}
			return a.Issue(args[0], args[1:], life)
		},
	}
	c.Flags().StringVar(&dir, "dir", "certs", "folder of the authority")
	c.Flags().DurationVar(&life, "life", 90*24*time.Hour, "how long the certificate is good")
	return c
}
