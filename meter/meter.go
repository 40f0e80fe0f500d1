// Package meter holds the metrics of a process: counters, and histograms for
// each client and class, in milliseconds.
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
	// mostClients bounds the histograms; further clients share one.
	mostClients = 2000
	// mostWorkspaces bounds those told apart, the first that come: 64 histograms of about
	// 17 KB are 1.1 MB. The largest come first more likely than not.
	mostWorkspaces = 64
	otherName      = "other"
	// Counters of calls between processes, by kind.
	callsPrefix    = "calls."
	sentPrefix     = "bytes.sent."
	receivedPrefix = "bytes.received."
)

// Meter is safe for concurrent use.
type Meter struct {
	registry metrics.Registry
	mu       sync.Mutex
	clients  map[string]bool
	// workspaces are those told apart.
	workspaces map[string]bool
}

// New returns an empty meter.
func New() *Meter {
	return &Meter{registry: metrics.NewRegistry(), clients: map[string]bool{}, workspaces: map[string]bool{}}
}

// Count adds one to a counter.
func (m *Meter) Count(name string) { m.Add(name, 1) }

// Add adds to a counter.
func (m *Meter) Add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(n)
}

// Call counts a call between processes by its path: how often, and the bytes of both
// bodies, heads left out.
func (m *Meter) Call(path string, sent, received int) {
	kind := kindOf(path)
	m.Count(callsPrefix + kind)
	m.Add(sentPrefix+kind, int64(sent))
	m.Add(receivedPrefix+kind, int64(received))
}

// kindOf is the last part of a path without its version.
func kindOf(path string) string {
	kind := strings.ReplaceAll(path, "/v1/", "/")
	return strings.ReplaceAll(strings.Trim(kind, "/"), "/", ".")
}

// Bytes returns what was sent and received by kind of call, as text of one line.
func (m *Meter) Bytes() string {
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
	m.histogram(name + ".client." + m.apart(m.clients, client, mostClients)).Update(d.Milliseconds())
	m.histogram(name + ".class." + class).Update(d.Milliseconds())
}

// Workspace tells of a request of a workspace: whether it was answered with success, and
// then in time, how long that took, and whether the workspace's cap refused it.
func (m *Meter) Workspace(name string, served, inTime, capped bool, took time.Duration) {
	name = m.apart(m.workspaces, name, mostWorkspaces)
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

// apart returns a name that is told apart, the first most of them that come, or the one
// that all others share.
func (m *Meter) apart(told map[string]bool, name string, most int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !told[name] && len(told) >= most {
		return otherName
	}
	told[name] = true
	return name
}

func (m *Meter) histogram(name string) metrics.Histogram {
	made := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	h, ok := m.registry.GetOrRegister(name, made).(metrics.Histogram)
	if !ok {
		return metrics.NilHistogram{}
	}
	return h
}

// WriteJSON writes all metrics.
func (m *Meter) WriteJSON(w io.Writer) { metrics.WriteJSONOnce(m.registry, w) }
