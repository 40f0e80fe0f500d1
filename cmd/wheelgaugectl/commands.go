package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"wheelgauge"
	"wheelgauge/opsclient"
	"wheelgauge/replica"
	"wheelgauge/storeapi"
)

const watchWait = 10 * time.Second

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}

// print writes v as JSON, or rows as a table, as the output flag says.
func (o *options) print(w io.Writer, v any, header string, rows [][]string) error {
	if o.output == outputJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, header) // Flush reports any write error
	for _, row := range rows {
		_, _ = fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	return t.Flush()
}

func resourceRows(list []wheelgauge.Resource) [][]string {
	var rows [][]string
	for _, r := range list {
		spec := string(r.Spec)
		if len(r.Pending) > 0 {
			spec += " pending " + string(r.Pending)
		}
		rows = append(rows, []string{string(r.Kind), r.Name, fmt.Sprint(r.Generation), r.Operator, spec})
	}
	return rows
}

const resourceHeader = "KIND\tNAME\tGENERATION\tOPERATOR\tSPEC"

func getCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "get [KIND [NAME]]", Short: "List or show resources", Args: cobra.MaximumNArgs(2),
		Example:           "  wheelgaugectl get\n  wheelgaugectl get Route chat -o json",
		ValidArgsFunction: completeKinds,
		RunE: func(c *cobra.Command, args []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			if len(args) == 2 {
				r, err := client.Get(c.Context(), wheelgauge.Kind(args[0]), args[1])
				if err != nil {
					return err
				}
				return o.print(c.OutOrStdout(), r, resourceHeader, resourceRows([]wheelgauge.Resource{r}))
			}
			kind := wheelgauge.Kind("")
			if len(args) == 1 {
				kind = wheelgauge.Kind(args[0])
			}
			list, err := client.List(c.Context(), kind)
			if err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), list, resourceHeader, resourceRows(list.Resources))
		},
	}
}

func completeKinds(_ *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	var out []string
	for _, k := range wheelgauge.Kinds() {
		out = append(out, string(k))
	}
	return out, cobra.ShellCompDirectiveNoFileComp
}

func applyCommand(o *options) *cobra.Command {
	var file, id string
	var wait, dryRun, force bool
	var limit time.Duration
	c := &cobra.Command{
		Use: "apply -f FILE", Short: "Create or update resources from a JSON list", Args: cobra.NoArgs,
		Example: `  wheelgaugectl apply -f resources.json --wait
  wheelgaugectl get Route chat -o json | wheelgaugectl apply -f -`,
		Long: `Apply writes each resource of the list. A resource with a generation is written
only if the stored one is still at that generation; one without is always written.
Applying the same file again under the same --change makes each change only once.`,
		RunE: func(c *cobra.Command, _ []string) error {
			list, err := readResources(c.InOrStdin(), file)
			if err != nil {
				return err
			}
			client, err := o.client()
			if err != nil {
				return err
			}
			generation, err := applyAll(c, client, list, id, dryRun, force)
			if err != nil || !wait || dryRun {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context(), limit)
			defer cancel()
			if err := client.WaitApplied(ctx, generation); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "generation %d is applied at every host\n", generation)
			return err
		},
	}
	f := c.Flags()
	f.StringVarP(&file, "file", "f", "", "JSON file with a list of resources, - for standard input")
	f.StringVar(&id, "change", "", "change ID; generated when empty")
	f.BoolVar(&wait, "wait", false, "wait until every host applies the change, or list those that do not")
	f.DurationVar(&limit, "wait-limit", 30*time.Second, "maximum time to wait")
	f.BoolVar(&dryRun, "dry-run", false, "validate only")
	f.BoolVar(&force, "force", false, "ignore the generations in the file")
	return c
}

func applyAll(c *cobra.Command, client *opsclient.Client, list []wheelgauge.Resource, id string, dryRun, force bool) (uint64, error) {
	if id == "" {
		id = opsclient.NewChangeID()
	}
	var newest uint64
	for i, r := range list {
		change := wheelgauge.Change{ID: fmt.Sprintf("%s-%d", id, i), Op: wheelgauge.OpPut, Kind: r.Kind, Name: r.Name, Spec: r.Spec}
		if r.Generation > 0 && !force {
			change.ExpectedGeneration = &r.Generation
		}
		result, err := client.Change(c.Context(), change, dryRun)
		if err != nil {
			return newest, fmt.Errorf("%s %s: %w", r.Kind, r.Name, err)
		}
		newest = max(newest, result.Generation)
		state := ""
		if result.Pending {
			state = " (pending until every host has applied it)"
		}
		if _, err := fmt.Fprintf(c.OutOrStdout(), "%s %s at generation %d%s\n", r.Kind, r.Name, result.Generation, state); err != nil {
			return newest, err
		}
	}
	return newest, nil
}

// readResources reads a list of resources, a single resource, or the output of "get -o json".
func readResources(in io.Reader, file string) ([]wheelgauge.Resource, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(in)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, fmt.Errorf("read resources: %w", err)
	}
	var list []wheelgauge.Resource
	if err := json.Unmarshal(data, &list); err == nil {
		return list, nil
	}
	var resp wheelgauge.ListResponse
	if err := json.Unmarshal(data, &resp); err == nil && len(resp.Resources) > 0 {
		return resp.Resources, nil
	}
	var one wheelgauge.Resource
	if err := json.Unmarshal(data, &one); err != nil || one.Kind == "" {
		return nil, errors.New("read resources: expected a JSON list of resources")
	}
	return []wheelgauge.Resource{one}, nil
}

func deleteCommand(o *options) *cobra.Command {
	var expected uint64
	c := &cobra.Command{
		Use: "delete KIND NAME", Short: "Delete a resource", Args: cobra.ExactArgs(2), ValidArgsFunction: completeKinds,
		RunE: func(c *cobra.Command, args []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			change := wheelgauge.Change{Op: wheelgauge.OpDelete, Kind: wheelgauge.Kind(args[0]), Name: args[1]}
			if expected > 0 {
				change.ExpectedGeneration = &expected
			}
			result, err := client.Change(c.Context(), change, false)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s %s deleted at generation %d\n", args[0], args[1], result.Generation)
			return err
		},
	}
	c.Flags().Uint64Var(&expected, "expected", 0, "delete only at this generation")
	return c
}

func watchCommand(o *options) *cobra.Command {
	var from uint64
	c := &cobra.Command{
		Use: "watch", Short: "Print changes as they happen", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			for c.Context().Err() == nil {
				resp, err := client.Watch(c.Context(), from, watchWait)
				if err != nil {
					return err
				}
				for _, e := range resp.Events {
					if err := printEvent(c.OutOrStdout(), e); err != nil {
						return err
					}
				}
				from = resp.Generation
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&from, "from", 0, "print changes after this generation")
	return c
}

func printEvent(w io.Writer, e wheelgauge.Event) error {
	verb := "put"
	if e.Deleted {
		verb = "deleted"
	}
	_, err := fmt.Fprintf(w, "%d %s %s %s by %s %s\n", e.Generation, verb, e.Resource.Kind, e.Resource.Name, e.Resource.Operator, e.Resource.Spec)
	return err
}

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show the stores and the generation applied by each host", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			s, err := client.Status(c.Context())
			if err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), s, fmt.Sprintf("GENERATION %d, LEADER %s\nWHAT\tNAME\tGENERATION\tNOTE", s.Generation, leaderName(s)), statusRows(s))
		},
	}
}

func leaderName(s storeapi.Status) string {
	for _, m := range s.Replica.Members {
		if m.ID == s.Replica.Leader {
			return m.Name
		}
	}
	return "none"
}

func statusRows(s storeapi.Status) [][]string {
	var rows [][]string
	for _, r := range s.Stores {
		rows = append(rows, []string{"store", r.Store, fmt.Sprint(r.Generation), ""})
	}
	for _, h := range s.HostGenerations {
		rows = append(rows, []string{"host", h.Host, fmt.Sprint(h.Generation), fmt.Sprintf("%s, last report %d ms ago", h.Region, h.AgeMS)})
	}
	for _, p := range s.Pending {
		rows = append(rows, []string{"pending", p.Rule, fmt.Sprint(p.Generation), "waiting for " + strings.Join(p.Waiting, ", ")})
	}
	return append(rows, replicaRows(s.Replica)...)
}

// replicaRows returns what is wrong with the replica of the store that was asked.
func replicaRows(r replica.Status) [][]string {
	var rows [][]string
	if r.Unverified {
		rows = append(rows, []string{"state", r.Self.Name, "", "may be an old copy: it is on another disk than it was written on"})
	}
	if r.SetAside != "" {
		rows = append(rows, []string{"state", r.Self.Name, "", "set aside as " + r.SetAside})
	}
	if r.Leaderless == nil {
		return rows
	}
	for _, k := range r.Leaderless.Contacts {
		kind := "learner"
		if k.Member.Voter {
			kind = "voter"
		}
		heard := "never heard"
		if k.Heard {
			heard = fmt.Sprintf("heard %d ticks ago", k.SilentTicks)
		}
		rows = append(rows, []string{kind, k.Member.Name, "", fmt.Sprintf("%s, vote %s", heard, k.Ballot)})
	}
	return rows
}

func drainCommand(o *options) *cobra.Command {
	var back bool
	c := &cobra.Command{
		Use: "drain host|server NAME", Short: "Take a host or a backend server out of service", Args: cobra.ExactArgs(2),
		Example: "  wheelgaugectl drain host khi-1\n  wheelgaugectl drain server engine-3 --back",
		RunE: func(c *cobra.Command, args []string) error {
			kinds := map[string]wheelgauge.Kind{"host": wheelgauge.KindHost, "server": wheelgauge.KindBackendServer}
			kind, ok := kinds[args[0]]
			if !ok {
				return fmt.Errorf("drain: expected host or server, got %q", args[0])
			}
			client, err := o.client()
			if err != nil {
				return err
			}
			return drain(c, client, kind, args[1], !back)
		},
	}
	c.Flags().BoolVar(&back, "back", false, "put it back into service")
	return c
}

func drain(c *cobra.Command, client *opsclient.Client, kind wheelgauge.Kind, name string, leaving bool) error {
	r, err := client.Get(c.Context(), kind, name)
	if err != nil {
		return err
	}
	spec, err := withLeaving(r, leaving)
	if err != nil {
		return err
	}
	result, err := client.Change(c.Context(), wheelgauge.Change{Op: wheelgauge.OpPut, Kind: kind, Name: name, Spec: spec, ExpectedGeneration: &r.Generation}, false)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "%s %s: leaving is %t at generation %d\n", kind, name, leaving, result.Generation)
	return err
}

func withLeaving(r wheelgauge.Resource, leaving bool) (json.RawMessage, error) {
	if r.Kind == wheelgauge.KindHost {
		var s wheelgauge.HostSpec
		if err := json.Unmarshal(r.Spec, &s); err != nil {
			return nil, fmt.Errorf("decode host: %w", err)
		}
		s.Leaving = leaving
		return json.Marshal(s)
	}
	var s wheelgauge.BackendServerSpec
	if err := json.Unmarshal(r.Spec, &s); err != nil {
		return nil, fmt.Errorf("decode backend server: %w", err)
	}
	s.Leaving = leaving
	return json.Marshal(s)
}

func removeStoreCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "remove-store NAME", Short: "Remove a permanently lost store from the group", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			return client.RemoveStore(c.Context(), args[0])
		},
	}
}
