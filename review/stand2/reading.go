package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// longBody is the largest body of the site's requests, smallWindow what a server takes in of it
	// before it reads.
	longBody    = 72000
	smallWindow = 4096
	// longAnswer is more than the sockets of a connection take in.
	longAnswer = 8 << 20
	// restTime is how long a slow reader rests.
	restTime    = 6 * time.Second
	readingDay  = 45 * time.Second
	readingWork = 30 * time.Millisecond
)

// readingRig starts a deployment with a server in each region.
func readingRig(r *rig, window int) ([]*server, error) {
	var servers []*server
	for _, p := range places {
		s, err := r.addServer("depot", p.zone, 64, window)
		if err != nil {
			return nil, err
		}
		s.work = readingWork
		servers = append(servers, s)
	}
	return servers, r.begin(6, "")
}

// slowServer lets servers rest before they read the body of a booking.
func slowServer(r *rig, trouble bool) (int, error) {
	servers, err := readingRig(r, smallWindow)
	if err != nil {
		return notRun, err
	}
	if trouble {
		for _, s := range servers {
			s.setReadDelay(restTime)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), readingDay)
	defer cancel()
	body := bytes.Repeat([]byte("x"), longBody)
	t := &tally{statuses: map[int]int{}}
	var wg sync.WaitGroup
	for g := range r.gateways {
		client := &http.Client{Timeout: callerTime + time.Second}
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("%04x%012x", g, n)
				began := time.Now()
				status := r.send(client, g, "/book/order", id, callerTime, body)
				t.add(status, false)
				r.record.add("caller: %s gets %d after %d ms of %d", id, status, time.Since(began).Milliseconds(), callerTime.Milliseconds())
				select {
				case <-time.After(time.Second):
				case <-ctx.Done():
				}
			}
		})
	}
	wg.Wait()
	ended := 0
	for _, s := range servers {
		ended += s.unread()
	}
	r.record.add("bookings: %v", t)
	r.record.add("%d bookings were ended at servers that had not read them yet", ended)
	if ended > 0 && t.served < t.sent {
		return broken, nil
	}
	return held, nil
}

// slowCaller lets callers rest while they read an answer.
func slowCaller(r *rig, trouble bool) (int, error) {
	servers, err := readingRig(r, 0)
	if err != nil {
		return notRun, err
	}
	for _, s := range servers {
		s.answerBytes = longAnswer
	}
	ctx, cancel := context.WithTimeout(context.Background(), readingDay)
	defer cancel()
	rest := restTime
	if !trouble {
		rest = 0
	}
	whole, part := 0, 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for g := range r.gateways {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("%04x%012x", g, n)
				began := time.Now()
				read, err := r.readSlowly(g, id, rest)
				r.record.add("caller: %s reads %d bytes of %d in %d ms of %d, %v", id, read, longAnswer, time.Since(began).Milliseconds(), callerTime.Milliseconds(), err)
				mu.Lock()
				if read == longAnswer {
					whole++
				} else if err != nil {
					part++
				}
				mu.Unlock()
				select {
				case <-time.After(time.Second):
				case <-ctx.Done():
				}
			}
		})
	}
	wg.Wait()
	r.record.add("%d answers arrived whole, %d were cut while their callers still had time", whole, part)
	if part > 0 {
		return broken, nil
	}
	return held, nil
}

// readSlowly sends a booking, begins to read its answer, rests, and reads on.
func (r *rig) readSlowly(gateway int, id string, rest time.Duration) (read int64, err error) {
	client := &http.Client{Timeout: callerTime, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
	req, err := http.NewRequest(http.MethodPost, "http://"+r.gateways[gateway].ip+":8144/book/order", bytes.NewReader([]byte(id)))
	if err != nil {
		return 0, err
	}
	req.Host = "h.example"
	req.Header.Set(wire["request-id"], id)
	req.Header.Set(wire["deadline"], fmt.Sprint(callerTime.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	first, err := io.CopyN(io.Discard, resp.Body, 64<<10)
	if err != nil {
		return first, err
	}
	time.Sleep(rest)
	n, err := io.Copy(io.Discard, resp.Body)
	return first + n, err
}
