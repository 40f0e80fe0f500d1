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
	formTable = "table"
	formJSON  = "json"

	envStores = "WHEELGAUGE_STORES"
	envToken  = "WHEELGAUGE_TOKEN"
)

// options are the flags that all commands share.
type options struct {
	stores    []string
	token     string
	authority string
	form      string
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
	f.StringVar(&o.token, "token", "", "operator's token (or "+envToken+")")
	f.StringVar(&o.authority, "authority", "", "PEM file of the authority that signs the stores; plain HTTP when empty")
	f.StringVarP(&o.form, "output", "o", formTable, "table or json")
	root.AddCommand(getCommand(o), applyCommand(o), deleteCommand(o), watchCommand(o), statusCommand(o), drainCommand(o), rolloutCommand(o), importCommand(o), storeCommand(o), certsCommand())
	return root
}

// client returns a client of the stores that flags or environment name.
func (o *options) client() (*opsclient.Client, error) {
	stores := o.stores
	if len(stores) == 0 {
		stores = splitList(os.Getenv(envStores))
	}
	if len(stores) == 0 {
		return nil, errors.New("name the stores by --stores or " + envStores)
	}
	token := o.token
	if token == "" {
		token = os.Getenv(envToken)
	}
	secure, err := o.secure()
	if err != nil {
		return nil, err
	}
	return opsclient.New(stores, token, secure), nil
}

func (o *options) secure() (peerhttp.Secure, error) {
	if o.authority == "" {
		return nil, nil
	}
	data, err := os.ReadFile(o.authority)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%s holds no certificate", o.authority)
	}
	return func(host string) *tls.Config {
		return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool, ServerName: host}
	}, nil
}
