// Package program holds the code common to all daemons: flags, validated settings, a
// logger and a graceful shutdown on SIGTERM or SIGINT.
package program

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"wheelgauge"
	"wheelgauge/logging"
	"wheelgauge/settings"
)

// Program describes a daemon.
type Program struct {
	Name string
	// Prefix begins each log line; it defaults to Name.
	Prefix  string
	Short   string
	Long    string
	Example string
	Keys    []settings.Key
	// Validate checks settings that depend on each other; may be nil.
	Validate func(v *settings.Values) error
	// Run serves until ctx is done, then shuts down gracefully.
	Run func(ctx context.Context, v *settings.Values, log logr.Logger) error
	// Subcommands are added to the program's command.
	Subcommands []*cobra.Command
}

// logKeys returns the log settings of every daemon.
func logKeys() []settings.Key {
	return []settings.Key{
		{Section: "log", Name: "format", Type: settings.Choice, Choices: []string{logging.FormatText, logging.FormatJSON}, Default: logging.FormatText, Help: "format of log lines"},
		{Section: "log", Name: "level", Type: settings.Choice, Choices: []string{logging.LevelDebug, logging.LevelInfo, logging.LevelError}, Default: logging.LevelInfo, Help: "minimum level of log lines"},
	}
}

// Main runs the program and exits with status 1 if it fails.
func Main(p Program) {
	if err := p.Command().Execute(); err != nil {
		os.Exit(1)
	}
}

// Command returns the program's command line.
func (p Program) Command() *cobra.Command {
	keys := append(p.Keys, logKeys()...)
	var path string
	var check bool
	c := &cobra.Command{
		Use: p.Name, Short: p.Short, Version: wheelgauge.Version, SilenceUsage: true, Args: cobra.NoArgs,
		Long:    p.Long + "\n\nSettings (INI):\n" + settings.Usage(keys),
		Example: p.Example,
		RunE: func(*cobra.Command, []string) error {
			v, err := p.Load(path)
			if err != nil {
				return err
			}
			if check {
				fmt.Println("settings are valid")
				return nil
			}
			return p.serve(v)
		},
	}
	c.Flags().StringVarP(&path, "config", "c", p.Name+".ini", "settings file")
	c.Flags().BoolVar(&check, "check", false, "only validate the settings")
	c.AddCommand(p.Subcommands...)
	return c
}

// Load reads and validates a settings file.
func (p Program) Load(path string) (*settings.Values, error) {
	v, err := settings.Load(path, append(p.Keys, logKeys()...))
	if err != nil {
		return nil, err
	}
	if p.Validate == nil {
		return v, nil
	}
	if err := p.Validate(v); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return v, nil
}

func (p Program) prefix() string {
	if p.Prefix != "" {
		return p.Prefix
	}
	return p.Name
}

func (p Program) serve(v *settings.Values) error {
	out := logging.NewBuffer(os.Stdout)
	defer out.Close()
	log, err := logging.New(out, v.Text("log", "format"), v.Text("log", "level"), p.prefix())
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	go p.handleReload(ctx, reload, log)
	if v.Declared("listen", "clear") && v.Bool("listen", "clear") {
		log.Info("Connections between hosts are unencrypted: the network must be closed.")
	}
	err = p.Run(ctx, v, log)
	if err != nil {
		log.Error(err, "Program failed.")
	}
	return err
}

// handleReload logs on each SIGHUP that a changed settings file takes effect only at the next
// start, as settings are read at start.
func (p Program) handleReload(ctx context.Context, signals <-chan os.Signal, log logr.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			log.Info("Settings are read at start; changes take effect at the next start.")
		}
	}
}
