package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"wheelgauge/platform"
)

// workTime is how long a server works on a request.
const workTime = 30 * time.Millisecond

// server is a sound backend server.
type server struct {
	id      string
	zone    string
	address string
	http    *http.Server
}

func (d *deployment) startServer(id, zone, ip string) (*server, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("start a server: %w", err)
	}
	s := &server{id: id, zone: zone, address: l.Addr().String()}
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(s, w, r) }), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }() // ends when the play closes it
	return s, nil
}

// serve runs a request, as the pages tell.
func (d *deployment) serve(s *server, w http.ResponseWriter, r *http.Request) {
	names, h := platform.Headers(), w.Header()
	if r.URL.Path == "/health" {
		h.Set(d.names.Instance, s.id)
		return
	}
	id := r.Header.Get(names.RequestID)
	h.Set(names.RequestID, id)
	if target := r.Header.Get(names.Target); target != "" && target != s.id {
		h.Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request is not whole
	}
	d.mu.Lock()
	d.runs = append(d.runs, run{id, s.zone, time.Now()})
	d.mu.Unlock()
	d.record.note("server %s in %s runs %s %s %s, %d bytes", s.id, s.zone, r.Method, r.URL.Path, id, len(body))
	time.Sleep(workTime)
	h.Set(names.Signature, "stamp."+s.id)
	h.Set(names.Load, "1,0,6")
	fmt.Fprintf(w, "%s from %s", id, s.id)
}

// startList starts the platform's list of servers.
func (d *deployment) startList() error {
	l, err := net.Listen("tcp", d.block+".250:0")
	if err != nil {
		return fmt.Errorf("start the list: %w", err)
	}
	d.listAt = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc(d.names.List, func(w http.ResponseWriter, r *http.Request) {
		zone := r.URL.Query().Get(d.names.Zone)
		page := map[string]any{"next_page_token": nil}
		entries := []json.RawMessage{}
		for _, s := range d.servers {
			if zone == "" || zone == s.zone {
				entries = append(entries, json.RawMessage(strings.NewReplacer("%ID%", s.id, "%ADDRESS%", s.address, "%ZONE%", s.zone).Replace(instanceText)))
			}
		}
		page["instances"] = entries
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(page) // the reader may have left
	})
	d.list = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = d.list.Serve(l) }() // ends when the play closes it
	return nil
}
