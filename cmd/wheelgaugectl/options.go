package main

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"wheelgauge"
	"wheelgauge/opsclient"
	"wheelgauge/peerhttp"
)

const (
	outputTable = "table"
	outputJSON  = "json"

	envStores = "WHEELGAUGE_STORES"
	envToken  = "WHEELGAUGE_TOKEN"
)

// options holds the flags shared by all commands.
type options struct {
	stores    []string
	token     string
	authority string
	output    string
}

func rootCommand() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use: "wheelgaugectl", Short: "Operate wheelgauge", Version: wheelgauge.Version, SilenceUsage: true,
		Example: `  export WHEELGAUGE_STORES=10.0.0.1:8092,10.1.0.1:8092 WHEELGAUGE_TOKEN=...
  wheelgaugectl apply -f resources.json --wait
  wheelgaugectl get Route
  wheelgaugectl status
  wheelgaugectl drain host khi-1`,
	}
	f := root.PersistentFlags()
	f.StringSliceVar(&o.stores, "stores", nil, "operator addresses of stores (or "+envStores+")")
	f.StringVar(&o.token, "token", "", "token of the operator (or "+envToken+")")
	f.StringVar(&o.authority, "authority", "", "PEM file of the CA certificate that the stores' certificates are verified against; plain HTTP when empty")
	f.StringVarP(&o.output, "output", "o", outputTable, "output format: table or json")
	root.AddCommand(getCommand(o), applyCommand(o), deleteCommand(o), watchCommand(o), statusCommand(o), drainCommand(o), rolloutCommand(o), quarantineCommand(o), importCommand(o), removeStoreCommand(o), certsCommand())
	return root
}

// client returns a client of the stores given by flags or the environment.
func (o *options) client() (*opsclient.Client, error) {
	stores := o.stores
	if len(stores) == 0 {
		stores = splitList(os.Getenv(envStores))
	}
	if len(stores) == 0 {
		return nil, errors.New("no stores given: set --stores or " + envStores)
	}
	token := o.token
	if token == "" {
		token = os.Getenv(envToken)
	}
	secure, err := o.tlsConfig()
	if err != nil {
		return nil, err
	}
	return opsclient.New(stores, token, secure), nil
}

func (o *options) tlsConfig() (peerhttp.TLSConfigFunc, error) {
	if o.authority == "" {
		return nil, nil
	}
	data, err := os.ReadFile(o.authority)
	if err != nil {
		return nil, fmt.Errorf("read CA certificate: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%s contains no PEM certificate", o.authority)
	}
	return func(host string) *tls.Config {
		return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool, ServerName: host}
	}, nil
}
