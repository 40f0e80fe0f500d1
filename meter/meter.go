// Package meter holds the metrics of a process: counters, gauges, and histograms of
// latencies by client, class and workspace, in milliseconds.
package meter

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	sampleSize  = 1028
	sampleAlpha = 0.015
	// maxClients bounds the clients with a histogram of their own; further clients share one.
	maxClients = 2000
	// maxWorkspaces bounds the workspaces with metrics of their own, which are the first seen:
	// 64 histograms of about 17 KB take 1.1 MB. The largest workspaces are likely to be
	// among the first.
	maxWorkspaces = 64
	otherName     = "other"
	// Prefixes of the counters of calls between processes, by kind.
	callsPrefix    = "calls."
	sentPrefix     = "bytes.sent."
	receivedPrefix = "bytes.received."
)

// Meter is a registry of metrics. It is safe for concurrent use.
type Meter struct {
	registry metrics.Registry
	mu       sync.Mutex
	clients  map[string]bool
	// workspaces are those with metrics of their own; clients likewise.
	workspaces map[string]bool
}

// New returns a meter without metrics.
func New() *Meter {
	return &Meter{registry: metrics.NewRegistry(), clients: map[string]bool{}, workspaces: map[string]bool{}}
}

// Count adds one to a counter.
func (m *Meter) Count(name string) { m.Add(name, 1) }

// Add adds to a counter.
func (m *Meter) Add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(n)
}

// CountCall counts a call between processes under its path: the call, and the bytes of both
// bodies without headers.
func (m *Meter) CountCall(path string, sent, received int) {
	kind := callKind(path)
	m.Count(callsPrefix + kind)
	m.Add(sentPrefix+kind, int64(sent))
	m.Add(receivedPrefix+kind, int64(received))
}

// callKind returns the path of a call without its version, with dots for slashes.
func callKind(path string) string {
	kind := strings.ReplaceAll(path, "/v1/", "/")
	return strings.ReplaceAll(strings.Trim(kind, "/"), "/", ".")
}

// BytesByKind returns the bytes sent and received by kind of call, as one line of text.
func (m *Meter) BytesByKind() string {
	var out []string
	m.registry.Each(func(name string, v any) {
		c, ok := v.(metrics.Counter)
		if ok && (strings.HasPrefix(name, sentPrefix) || strings.HasPrefix(name, receivedPrefix)) {
			out = append(out, fmt.Sprintf("%s=%d", name, c.Count()))
		}
	})
	slices.Sort(out)
	return strings.Join(out, " ")
}

// Gauge sets a gauge.
func (m *Meter) Gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

// Observe adds a duration to the histograms of a client and of its class.
func (m *Meter) Observe(name, client, class string, d time.Duration) {
	m.histogram(name + ".client." + m.label(m.clients, client, maxClients)).Update(d.Milliseconds())
	m.histogram(name + ".class." + class).Update(d.Milliseconds())
}

// CountWorkspace counts a request of a workspace: whether it succeeded, whether it did so within
// its deadline and how long it took, and whether the workspace's cap rejected it.
func (m *Meter) CountWorkspace(name string, served, inTime, capped bool, took time.Duration) {
	name = m.label(m.workspaces, name, maxWorkspaces)
	m.Count("workspace.arrived." + name)
	if served {
		m.histogram("workspace.ms." + name).Update(took.Milliseconds())
	}
	if inTime {
		m.Count("workspace.in_time." + name)
	}
	if capped {
		m.Count("workspace.capped." + name)
	}
}

// ShareOfWorkspace records that a workspace has come above its share or back: what it asked for
// and got, as rates of costs.
func (m *Meter) ShareOfWorkspace(name string, above bool, asked, served float64) {
	name = m.label(m.workspaces, name, maxWorkspaces)
	if above {
		m.Count("workspace.above_share." + name)
	}
	m.Gauge("workspace.asked."+name, int64(asked))
	m.Gauge("workspace.served."+name, int64(served))
}

// label returns name if it is one of the first limit names seen, else the name that all
// others share.
func (m *Meter) label(seen map[string]bool, name string, limit int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !seen[name] && len(seen) >= limit {
		return otherName
	}
	seen[name] = true
	return name
}

func (m *Meter) histogram(name string) metrics.Histogram {
	newHistogram := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	h, ok := m.registry.GetOrRegister(name, newHistogram).(metrics.Histogram)
	if !ok {
		return metrics.NilHistogram{}
	}
	return h
}

// WriteJSON writes all metrics to w as one JSON object.
func (m *Meter) WriteJSON(w io.Writer) { metrics.WriteJSONOnce(m.registry, w) }
