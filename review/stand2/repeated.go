package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// tally counts the answers to a kind of request.
type tally struct {
	mu   sync.Mutex
	sent int
	// served counts the successes, late those sent in the second half of the time.
	served, lateSent, lateServed int
	statuses                     map[int]int
}

func (t *tally) add(status int, late bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.statuses[status]++
	ok := status == http.StatusOK
	if ok {
		t.served++
	}
	if late {
		t.lateSent++
		if ok {
			t.lateServed++
		}
	}
}

func (t *tally) share() float64 { return float64(t.served) / float64(max(1, t.sent)) }

func (t *tally) String() string {
	return fmt.Sprintf("sent %d, served %d, by status %v; in the second half: sent %d, served %d", t.sent, t.served, t.statuses, t.lateSent, t.lateServed)
}

// send sends one request and returns the status of a whole success or of a failure, 0 without an
// answer.
func (r *rig) send(client *http.Client, gateway int, path, id string, timeout time.Duration, body []byte) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.gateways[gateway].ip+":8144"+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	req.Header.Set(wire["request-id"], id)
	req.Header.Set(wire["deadline"], strconv.FormatInt(timeout.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	if resp.StatusCode == http.StatusOK && resp.Header.Get(wire["stamp"]) != "stamp-"+id {
		return -1
	}
	return resp.StatusCode
}

const (
	repeatedDay   = 95 * time.Second
	crashesAt     = 5 * time.Second
	crashesApart  = 1200 * time.Millisecond
	serverDown    = 4500 * time.Millisecond
	repeatedBytes = 2400
)

// repeated lets callers in all regions repeat one lookup with the same body while the servers of
// the service crash one after another.
func repeated(r *rig, trouble bool) (int, error) {
	var servers []*server
	for _, p := range places {
		s, err := r.addServer("depot", p.zone, 64, 0)
		if err != nil {
			return notRun, err
		}
		s.work = 200 * time.Millisecond
		servers = append(servers, s)
	}
	if err := r.begin(6, ""); err != nil {
		return notRun, err
	}
	look, book := &tally{statuses: map[int]int{}}, &tally{statuses: map[int]int{}}
	same := bytes.Repeat([]byte("stock of depot 7? "), repeatedBytes/18)
	ctx, cancel := context.WithTimeout(context.Background(), repeatedDay)
	defer cancel()
	began := time.Now()
	var wg sync.WaitGroup
	for g := range r.gateways {
		client := &http.Client{Timeout: 3 * time.Second}
		callers := []struct {
			t     *tally
			path  string
			every time.Duration
			body  func(id string) []byte
		}{
			{look, "/look/stock", 60 * time.Millisecond, func(string) []byte { return same }},
			{book, "/book/order", 60 * time.Millisecond, func(id string) []byte { return append(bytes.Repeat([]byte("x"), repeatedBytes), id...) }},
		}
		for k, c := range callers {
			wg.Go(func() {
				ticker := time.NewTicker(c.every)
				defer ticker.Stop()
				for n := 0; ctx.Err() == nil; n++ {
					<-ticker.C
					id := fmt.Sprintf("%02x%02x%012x", k, g, n)
					late := time.Since(began) > repeatedDay/2
					wg.Go(func() { c.t.add(r.send(client, g, c.path, id, 2*time.Second, c.body(id)), late) })
				}
			})
		}
	}
	if trouble {
		time.Sleep(crashesAt)
		for _, s := range servers {
			s.crash()
			time.AfterFunc(serverDown, func() {
				if err := s.start(); err != nil {
					r.record.add("a server does not return: %v", err)
				}
			})
			time.Sleep(crashesApart)
		}
	}
	wg.Wait()
	all := float64(look.served+book.served) / float64(max(1, look.sent+book.sent))
	r.record.add("lookups, all alike: %v", look)
	r.record.add("bookings, all different: %v", book)
	r.record.add("served: %.3f of the lookups, %.3f of all requests", look.share(), all)
	if look.share() < all/4 {
		return broken, nil
	}
	return held, nil
}
