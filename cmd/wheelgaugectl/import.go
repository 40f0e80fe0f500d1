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
		Use: "import FILE", Short: "Create routes for models and paths that another system serves", Args: cobra.ExactArgs(1),
		Long: `Each line of the list is "model NAME ADDRESS" or "path PREFIX ADDRESS"; lines that
begin with # are ignored. A pool and a route are created for each; all requests
of the route take the old path. Migrate by lowering old_path.share, and go back
by raising it.`,
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
	c.Flags().BoolVar(&dryRun, "dry-run", false, "validate only")
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
		resources, err := importLine(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, number, err)
		}
		out = append(out, resources...)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read list: %w", err)
	}
	return out, nil
}

// importLine returns the pool and the route for one line.
func importLine(line string) ([]wheelgauge.Resource, error) {
	fields := strings.Fields(line)
	if len(fields) != importFields {
		return nil, fmt.Errorf("expected \"model NAME ADDRESS\" or \"path PREFIX ADDRESS\", got %q", line)
	}
	if _, err := netip.ParseAddrPort(fields[2]); err != nil {
		return nil, fmt.Errorf("expected an address such as 10.0.0.1:8080, got %q", fields[2])
	}
	name := "old-" + strings.Trim(strings.ReplaceAll(fields[1], "/", "-"), "-")
	pool := wheelgauge.PoolSpec{Type: wheelgauge.PoolService}
	route := wheelgauge.RouteSpec{Pool: name, OldPath: &wheelgauge.OldPath{Address: fields[2], Share: 1}}
	switch fields[0] {
	case "model":
		pool.Type, route.Model = wheelgauge.PoolEngine, fields[1]
	case "path":
		route.Path = fields[1]
	default:
		return nil, fmt.Errorf("expected model or path, got %q", fields[0])
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
	var validity time.Duration
	c := &cobra.Command{
		Use: "certs NAME IP...", Short: "Issue a certificate for a host, and create the CA if there is none", Args: cobra.MinimumNArgs(2),
		Example: "  wheelgaugectl certs khi-1 10.0.0.1 --dir certs",
		Long: `Certs writes NAME.pem and NAME.key, signed by the CA in the folder. Running
processes load new files without a restart. Keep authority.key off the hosts.`,
		RunE: func(_ *cobra.Command, args []string) error {
			a, err := certs.Open(dir)
			if err != nil {
				return err
			}
			return a.Issue(args[0], args[1:], validity)
		},
	}
	c.Flags().StringVar(&dir, "dir", "certs", "folder of the CA")
	c.Flags().DurationVar(&validity, "life", 90*24*time.Hour, "validity period of the certificate")
	return c
}
