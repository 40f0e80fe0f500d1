// Package program is what all daemons share: flags, checked settings, a logger
// and a clean stop on SIGTERM or SIGINT.
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
	// Prefix begins each log line; the name when empty.
	Prefix  string
	Short   string
	Long    string
	Example string
	Keys    []settings.Key
	// Check finds faults that one key alone does not show; may be nil.
	Check func(v *settings.Values) error
	// Run serves until ctx ends, then stops cleanly.
	Run func(ctx context.Context, v *settings.Values, log logr.Logger) error
	// More are further subcommands.
	More []*cobra.Command
}

// logKeys are the settings of every daemon's log.
func logKeys() []settings.Key {
	return []settings.Key{
		{Section: "log", Name: "format", Type: settings.Choice, Choices: []string{logging.FormatText, logging.FormatJSON}, Default: logging.FormatText, Help: "form of log lines"},
		{Section: "log", Name: "level", Type: settings.Choice, Choices: []string{logging.LevelDebug, logging.LevelInfo, logging.LevelError}, Default: logging.LevelInfo, Help: "least level that is written"},
	}
}

// Main runs the program and ends the process.
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
	c.Flags().BoolVar(&check, "check", false, "only check the settings")
	c.AddCommand(p.More...)
	return c
}

// Load reads and checks a settings file.
func (p Program) Load(path string) (*settings.Values, error) {
	v, err := settings.Load(path, append(p.Keys, logKeys()...))
	if err != nil {
		return nil, err
	}
	if p.Check == nil {
		return v, nil
	}
	if err := p.Check(v); err != nil {
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
	go p.reload(ctx, reload, log)
	if v.Known("listen", "clear") && v.Bool("listen", "clear") {
		log.Info("Hosts talk in the clear: the network must be closed.")
	}
	err = p.Run(ctx, v, log)
	if err != nil {
		log.Error(err, "Program ends.")
	}
	return err
}

// reload answers SIGHUP. Settings are read at start; what a changed file says
// holds from the next one, so a faulty file is told of before that.
func (p Program) reload(ctx context.Context, signals <-chan os.Signal, log logr.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			log.Info("Settings changed; they hold from the next start.")
		}
	}
}
