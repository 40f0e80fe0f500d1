package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

var (
	//go:embed texts/settings.json
	settingsText string
	//go:embed texts/configuration.json
	configurationText string
	//go:embed texts/instance.json
	instanceText string
	//go:embed texts/names.json
	namesText []byte
)

const (
	storeCount = 5
	// seedCount is how many stores all settings name.
	seedCount = 3
)

// readyTime bounds the start of the deployment.
const readyTime = 20 * time.Second

// wireNames are the paths and names of the users' pages.
type wireNames struct {
	Put         string `json:"put"`
	Get         string `json:"get"`
	Evacuations string `json:"evacuations"`
	Resolve     string `json:"resolve"`
	Ready       string `json:"ready"`
	List        string `json:"list"`
	Addresses   string `json:"addresses"`
	Zone        string `json:"zone"`
	Instance    string `json:"instance"`
}

// place is a hall with its region.
type place struct{ zone, region string }

var places = []place{{"acc-hall-a", "accra"}, {"kms-hall-a", "kumasi"}, {"tkd-hall-a", "takoradi"}}

// deployment is a small deployment: five stores, a gateway and a server in each of three halls.
type deployment struct {
	record   *record
	names    wireNames
	folder   string
	block    string
	seeds    []string
	stores   []*process
	gateways []*process
	servers  []*server
	list     *http.Server
	listAt   string

	mu   sync.Mutex
	runs []run
}

// run is one request that a server ran.
type run struct {
	id   string
	zone string
	at   time.Time
}

func newDeployment(r *record) (*deployment, error) {
	d := &deployment{record: r}
	if err := json.Unmarshal(namesText, &d.names); err != nil {
		return nil, fmt.Errorf("names: %w", err)
	}
	var err error
	if d.folder, err = os.MkdirTemp("", "review-stand-"); err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	if d.block, err = freeBlock(); err != nil {
		return nil, errors.Join(err, os.RemoveAll(d.folder))
	}
	return d, nil
}

// freeBlock returns three bytes of loopback addresses at which no other deployment listens.
func freeBlock() (string, error) {
	for range 50 {
		block := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
		l, err := net.Listen("tcp", block+".1:7660")
		if err != nil {
			continue
		}
		return block, l.Close()
	}
	return "", errors.New("no block of loopback addresses is free")
}

// close ends all that was started.
func (d *deployment) close() error {
	for _, p := range append(append([]*process{}, d.gateways...), d.stores...) {
		p.kill()
	}
	for _, s := range d.servers {
		_ = s.http.Close() // the play is over
	}
	if d.list != nil {
		_ = d.list.Close() // the play is over
	}
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "logs are kept in", d.folder)
		return nil
	}
	return os.RemoveAll(d.folder)
}

// start starts everything and waits until callers are served in each region.
func (d *deployment) start(ctx context.Context) error {
	for n, p := range places {
		s, err := d.startServer(fmt.Sprintf("i-%d", n), p.zone, fmt.Sprintf("%s.%d", d.block, 200+n))
		if err != nil {
			return err
		}
		d.servers = append(d.servers, s)
	}
	if err := d.startList(); err != nil {
		return err
	}
	for n := range storeCount {
		d.stores = append(d.stores, d.newStore(n))
		if n < seedCount {
			d.seeds = append(d.seeds, d.stores[n].ip+":8146")
		}
	}
	for n, p := range places {
		d.gateways = append(d.gateways, &process{name: "frontend-" + p.zone + "-1", zone: p.zone, region: p.region, ip: fmt.Sprintf("%s.%d", d.block, 100+n), program: "wheelgauge-gateway"})
	}
	for _, p := range append(append([]*process{}, d.stores...), d.gateways...) {
		if err := d.settle(p, true); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	if err := d.configure(ctx, 1); err != nil {
		return err
	}
	return d.awaitReady(ctx)
}

// newStore returns a store that is not started yet.
func (d *deployment) newStore(n int) *process {
	p := places[n%len(places)]
	return &process{name: fmt.Sprintf("core-%s-%d", p.zone, 1+n/len(places)), zone: p.zone, region: p.region, ip: fmt.Sprintf("%s.%d", d.block, 10+n), program: "wheelgauge-store"}
}

// dataFolder returns the disk of a store.
func (d *deployment) dataFolder(p *process) string { return filepath.Join(d.folder, p.name) }

// settle writes the settings file of a process from the template of the deploy file.
func (d *deployment) settle(p *process, firstStart bool) error {
	template, memory := "deploy/gateway.ini", "284"
	if p.program == "wheelgauge-store" {
		template, memory = "deploy/store.ini", "280"
	}
	text := strings.NewReplacer("%NAME%", p.name, "%IP%", p.ip, "%ZONE%", p.zone, "%REGION%", p.region, "%SEEDS%", strings.Join(d.seeds, ","),
		"%FIRST%", fmt.Sprint(firstStart), "%FOLDER%", d.dataFolder(p), "%MEMORY%", memory, "%LIST%", d.listAt).Replace(settingsText)
	var fields map[string]any
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		return fmt.Errorf("settings of %s: %w", p.name, err)
	}
	data, err := os.ReadFile(template)
	if err != nil {
		return fmt.Errorf("read the template: %w", err)
	}
	filled, err := fill(string(data), fields, nil, "", true)
	if err != nil {
		return err
	}
	p.file, p.log = filepath.Join(d.folder, p.name+".ini"), filepath.Join(d.folder, p.name+".log")
	if err := os.WriteFile(p.file, []byte(filled), 0o600); err != nil {
		return fmt.Errorf("write the settings of %s: %w", p.name, err)
	}
	return nil
}

// configure sends a version of the configuration until it is taken.
func (d *deployment) configure(ctx context.Context, version int) error {
	return d.configureAt(ctx, version, d.stores...)
}

// configureAt sends a version of the configuration to some stores in turn until it is taken.
func (d *deployment) configureAt(ctx context.Context, version int, stores ...*process) error {
	body := strings.Replace(configurationText, "%VERSION%", fmt.Sprint(version), 1)
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		if d.order(ctx, stores[n%len(stores)], d.names.Put, body) == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("no store takes the configuration")
}

// awaitReady waits until all gateways are ready and a request is served at each.
func (d *deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for _, g := range d.gateways {
		for d.get(ctx, "http://"+g.ip+":8140"+d.names.Ready) != http.StatusOK {
			if ctx.Err() != nil {
				return fmt.Errorf("%s does not become ready", g.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	d.record.note("all gateways are ready")
	return nil
}

// get returns the status of a GET, 0 without an answer.
func (d *deployment) get(ctx context.Context, address string) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// order sends an order of the operator to a store on a channel of its own and returns the status,
// 0 if there is no answer within a second.
func (d *deployment) order(ctx context.Context, store *process, path, body string) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+store.ip+":8146"+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	d.record.note("operator sends %s to %s", path, store.name)
	resp, err := client.Do(req)
	if err != nil {
		d.record.note("operator has no answer to %s from %s within a second, and closes the channel", path, store.name)
		return 0
	}
	defer resp.Body.Close()
	d.record.note("operator gets %d to %s from %s", resp.StatusCode, path, store.name)
	return resp.StatusCode
}

// leader returns the store that last became the leader, nil if none did.
func (d *deployment) leader() *process {
	var found *process
	latest := ""
	for _, s := range d.stores {
		for _, line := range s.logged("Replica changes role") {
			if at := line[:min(len(line), 64)]; strings.Contains(line, `"leader"`) && strings.Contains(line, `role`) && hasRole(line, "leader") && at > latest {
				latest, found = at, s
			}
		}
	}
	return found
}

// hasRole reports whether a line of a log tells of a role.
func hasRole(line, role string) bool {
	return strings.Contains(line, `"role":"`+role+`"`) || strings.Contains(line, `"role": "`+role+`"`) || strings.Contains(line, "role="+role)
}
