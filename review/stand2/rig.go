// Command stand2 plays the cases of the second review: it starts the programs of the deploy file on
// loopback addresses, stands in for the platform, servers and callers, and records what they saw.
package main

import (
	_ "embed" // for the wire's names
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var (
	//go:embed wire.txt
	wireText string
	//go:embed fields.txt
	fieldsText string
	//go:embed config.txt
	configText string
	//go:embed entry.txt
	entryText string
	wire      = pairs(wireText)
)

// pairs reads lines of a key and a value.
func pairs(text string) map[string]string {
	out := map[string]string{}
	for line := range strings.Lines(text) {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			out[key] = value
		}
	}
	return out
}

// place is a region with its one zone.
type place struct{ region, zone string }

var places = []place{{"khi", "khi-korangi"}, {"lhe", "lhe-raiwind"}, {"pew", "pew-hayatabad"}}

// process is one of the system's programs.
type process struct {
	name, program, settings, ip, logPath string
	mu                                   sync.Mutex
	cmd                                  *exec.Cmd
	done                                 chan struct{}
}

// rig is a small deployment and its platform.
type rig struct {
	root, dir string
	net       int
	record    *recorder
	stores    []*process
	gateways  []*process
	platform  *platform
}

// recorder writes what happens to a file.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &recorder{out: f, start: time.Now()}, nil
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// newRig finds a free block of loopback addresses and starts the platform's list.
func newRig(root string, record *recorder) (*rig, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	r := &rig{root: root, dir: dir, record: record}
	for n := range 100 {
		r.net = 20 + (os.Getpid()+37*n)%200
		l, err := net.Listen("tcp", r.ip(1, 0)+":7660")
		if err != nil {
			continue
		}
		_ = l.Close()
		r.platform, err = newPlatform(record)
		return r, err
	}
	return nil, errors.New("no free addresses")
}

func (r *rig) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", r.net, kind, 10+n) }

// fields returns the settings that the platform gives to a host.
func (r *rig) fields(kind, n int) map[string]string {
	p, ip := places[n%len(places)], r.ip(kind, n)
	var seeds []string
	for store := range 3 {
		seeds = append(seeds, r.ip(1, store)+":8146")
	}
	return pairs(strings.NewReplacer("NAME", fmt.Sprintf("node-%d-%d", kind, n), "REGION", p.region, "ZONE", p.zone, "IP", ip,
		"SEEDS", strings.Join(seeds, ","), "LIST", r.platform.address).Replace(fieldsText))
}

var (
	section = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	gap     = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills a template of the deploy folder as the platform does.
func render(path string, fields map[string]string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read template: %w", err)
	}
	zones := make([]string, 0, len(places))
	for _, p := range places {
		zones = append(zones, p.zone+":"+p.region)
	}
	out := section.ReplaceAllStringFunc(string(text), func(s string) string {
		m := section.FindStringSubmatch(s)
		switch {
		case m[1] == "zones":
			return strings.Join(zones, ",")
		case fields[m[1]] != "":
			return m[2]
		}
		return ""
	})
	return gap.ReplaceAllStringFunc(out, func(s string) string { return fields[strings.Trim(s, "{}")] }), nil
}

// add prepares a program of the deploy file on a host of its own.
func (r *rig) add(program, template string, kind, n, memoryMB int) (*process, error) {
	f, name := r.fields(kind, n), fmt.Sprintf("node-%d-%d", kind, n)
	f["limits.memory_mb"], f["first_start"] = strconv.Itoa(memoryMB), "true"
	f["data_directory"] = filepath.Join(r.dir, name)
	text, err := render(filepath.Join(r.root, "deploy", template), f)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(r.dir, name)
	p := &process{name: name, program: filepath.Join(r.root, "target", program), settings: path + ".conf", ip: r.ip(kind, n), logPath: path + ".log"}
	return p, os.WriteFile(p.settings, []byte(text), 0o600)
}

// start starts five stores and gateways in turn in the three regions.
func (r *rig) start(gateways int) error {
	for n := range 5 {
		p, err := r.add("wheelgauge-store", "store.ini", 1, n, 280)
		if err != nil {
			return err
		}
		r.stores = append(r.stores, p)
	}
	for n := range gateways {
		p, err := r.add("wheelgauge-gateway", "gateway.ini", 2, n, 284)
		if err != nil {
			return err
		}
		r.gateways = append(r.gateways, p)
	}
	for _, p := range append(append([]*process{}, r.stores...), r.gateways...) {
		if err := p.start(); err != nil {
			return err
		}
		r.record.add("%s starts at %s", p.name, p.ip)
	}
	return nil
}

// start starts the program.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	p.cmd = exec.Command(p.program, "routes", "--config", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=1") // a machine shows one core
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait() // how it ended shows in the record
		_ = log.Close()
		close(done)
	}(p.cmd, p.done)
	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// end ends all processes of the rig and removes its folder, unless it is kept.
func (r *rig) end() {
	all := append(append([]*process{}, r.stores...), r.gateways...)
	for _, p := range all {
		if p.cmd != nil {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			<-p.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}

func config(version int, extra string) string {
	return strings.NewReplacer("VERSION", strconv.Itoa(version), "EXTRA", extra).Replace(configText)
}

// operator sends an operator's call to a store. The status is 0 without a response.
func (r *rig) operator(method string, store int, path, body string) (status int, text string) {
	req, err := http.NewRequest(method, "http://"+r.ip(1, store)+":8146"+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	resp, err := (&http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

// put sends a configuration until it is acknowledged.
func (r *rig) put(store, version int, extra string) error {
	for range 100 {
		if status, _ := r.operator(http.MethodPost, store, wire["put"], config(version, extra)); status == http.StatusOK {
			r.record.add("operator: version %d is acknowledged by store %d", version, store)
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("version %d was not acknowledged", version)
}

// awaitReady waits until all gateways say that they are ready.
func (r *rig) awaitReady() error {
	for range 150 {
		ready := 0
		for _, p := range r.gateways {
			resp, err := http.Get("http://" + p.ip + ":8140/")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(r.gateways) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the gateways are not ready")
}

// platform serves the list of servers.
type platform struct {
	address string
	record  *recorder
	mu      sync.Mutex
	// entries are those of the list by server.
	entries map[string]string
}

func newPlatform(record *recorder) (*platform, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	p := &platform{address: l.Addr().String(), record: record, entries: map[string]string{}}
	go func() { _ = http.Serve(l, p) }() // ends with the process
	return p, nil
}

// set adds a server to the list.
func (p *platform) set(id, service, address, zone string, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries[id] = strings.NewReplacer("ID", id, "SERVICE", service, "ADDRESS", address, "ZONE", zone, "SLOTS", strconv.Itoa(slots), "STATE", "ready").Replace(strings.TrimSpace(entryText))
}

func (p *platform) remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.entries, id)
}

// ServeHTTP serves the list.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []string
	for _, e := range p.entries {
		if zone := r.URL.Query().Get(wire["zone"]); zone == "" || strings.Contains(e, `"`+zone+`"`) {
			found = append(found, e)
		}
	}
	slices.Sort(found)
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"instances":[%s],"next_page_token":null}`, strings.Join(found, ",")) // the store reads the list again
}

// begin starts the programs and waits until they serve the first configuration.
func (r *rig) begin(gateways int, routes string) error {
	if err := r.start(gateways); err != nil {
		return err
	}
	if err := r.put(0, 1, routes); err != nil {
		return err
	}
	return r.awaitReady()
}
