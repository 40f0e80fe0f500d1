package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"wheelgauge/platform"
)

const (
	// freezeTime is how long the store stands still, the length that the site file gives.
	freezeTime = 3500 * time.Millisecond
	// evacuationTime is the bound on an evacuation, touchTime the time after which all machines
	// are in touch again.
	evacuationTime = 5 * time.Second
	touchTime      = 5 * time.Second
	// watchTime is how long servers are watched after both have gone by.
	watchTime = 8 * time.Second
	// requestInterval is the pause between two requests of a caller.
	requestInterval = 100 * time.Millisecond
	evacuated       = "tkd-hall-a"
)

// playLateOrder ends an evacuation and starts it again. The store to which the operator sends the
// end first stands still meanwhile.
func playLateOrder(ctx context.Context, d *deployment, trouble bool) (broken bool, err error) {
	if err := d.start(ctx); err != nil {
		return false, err
	}
	callers, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer func() { stop(); group.Wait() }()
	for n, g := range d.gateways {
		group.Go(func() { d.callAll(callers, n, g) })
	}
	time.Sleep(2 * time.Second)
	leader := d.leader()
	if leader == nil {
		return false, errors.New("no store says that it leads")
	}
	var still, sound *process
	for _, s := range d.stores {
		switch {
		case s == leader:
		case still == nil:
			still = s
		default:
			sound = s
		}
	}
	d.record.note("the leader is %s; %s stands still later", leader.name, still.name)
	start, end := d.names.Evacuations+evacuated+"/start", d.names.Evacuations+evacuated+"/end"
	if d.orderAnywhere(ctx, start, sound) != nil {
		return false, errors.New("the evacuation is not acknowledged")
	}
	time.Sleep(evacuationTime + time.Second)
	if trouble {
		d.record.note("%s is stopped (SIGSTOP)", still.name)
		if err := still.signal(syscall.SIGSTOP); err != nil {
			return false, err
		}
	}
	stoppedAt := time.Now()
	time.Sleep(200 * time.Millisecond)
	if err := d.orderAnywhere(ctx, end, still, sound); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	if err := d.orderAnywhere(ctx, start, sound); err != nil {
		return false, err
	}
	ackAt := time.Now()
	d.record.note("the evacuation is acknowledged and is not taken back from now on")
	time.Sleep(time.Until(stoppedAt.Add(freezeTime)))
	if trouble {
		d.record.note("%s goes on (SIGCONT)", still.name)
		if err := still.signal(syscall.SIGCONT); err != nil {
			return false, err
		}
	}
	boundAt := time.Now().Add(touchTime)
	if at := ackAt.Add(evacuationTime); at.After(boundAt) {
		boundAt = at
	}
	time.Sleep(time.Until(boundAt))
	d.record.note("all machines are in touch, and the bound on the evacuation has gone by")
	time.Sleep(watchTime)
	stop()
	group.Wait()
	late, elsewhere := d.runsAfter(boundAt)
	d.record.note("EVAC: %d requests reached servers in %s after the bound, %d reached others", late, evacuated, elsewhere)
	if elsewhere == 0 {
		return false, errors.New("no request was served elsewhere")
	}
	return late > 0, nil
}

// runsAfter counts the requests that servers of the evacuated hall, and others, ran after a time.
func (d *deployment) runsAfter(at time.Time) (late, elsewhere int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.runs {
		switch {
		case r.at.Before(at):
		case r.zone == evacuated:
			late++
		default:
			elsewhere++
		}
	}
	return late, elsewhere
}

// orderAnywhere sends an order to one store after another until it is acknowledged, as the operator
// does.
func (d *deployment) orderAnywhere(ctx context.Context, path string, stores ...*process) error {
	pause := 50 * time.Millisecond
	for n := 0; ctx.Err() == nil && n < 10; n++ {
		if d.order(ctx, stores[min(n, len(stores)-1)], path, "") == http.StatusOK {
			return nil
		}
		time.Sleep(pause)
		pause *= 2
	}
	return fmt.Errorf("%s is not acknowledged", path)
}

// callAll sends requests to a gateway one after another.
func (d *deployment) callAll(ctx context.Context, caller int, g *process) {
	client := http.Client{Transport: &http.Transport{}}
	for n := 0; ctx.Err() == nil; n++ {
		method, path := http.MethodGet, "/bay/"
		if n%2 == 0 {
			method, path = http.MethodPost, "/pay/"
		}
		d.call(&client, g, method, path, fmt.Sprintf("%08x%08x", caller, n))
		time.Sleep(requestInterval)
	}
}

// call sends one request and records its answer.
func (d *deployment) call(client *http.Client, g *process, method, path, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("fine 12")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+g.ip+":8144"+path+id, body)
	if err != nil {
		return
	}
	names := platform.Headers()
	req.Host = "desk.example"
	req.Header.Set(names.RequestID, id)
	req.Header.Set(names.Deadline, "2500")
	resp, err := client.Do(req)
	if err != nil {
		d.record.note("caller gets no answer to %s from %s: %v", id, g.name, err)
		return
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	d.record.note("caller gets %d to %s from %s: %.60q %v", resp.StatusCode, id, g.name, answer, err)
}
