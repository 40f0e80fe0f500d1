package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// learnTime bounds the time in which a new store joins the others.
	learnTime = 10 * time.Second
	// returnTime is how long after the kill of all stores the last of them return: within a
	// second, as the pages tell.
	returnTime = 800 * time.Millisecond
	// settleTime is how long nothing happens between two steps. It exceeds the time after which a
	// machine that is back counts as lost no more (4 s), and that after which all are in touch (5 s).
	settleTime = 6 * time.Second
	// downTime is how long the stores that lose their disks are down.
	downTime = 1200 * time.Millisecond
	// readTime is how long the operator reads after the final fault: the time for recovery (12 s)
	// and touchTime together.
	readTime = 12*time.Second + touchTime
)

// playReplaced replaces a store as planned. Another one stands still meanwhile, and all stores are
// killed at the same moment after that. At the end, two stores lose their disks right after a
// configuration was acknowledged.
func playReplaced(ctx context.Context, d *deployment, trouble bool) (broken bool, err error) {
	if err := d.start(ctx); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	added := d.newStore(storeCount)
	if err := d.settle(added, false); err != nil {
		return false, err
	}
	d.record.note("planned replacement: %s starts, with an empty disk", added.name)
	if err := added.start(); err != nil {
		return false, err
	}
	before := d.stores
	d.stores = append(d.stores, added)
	if err := awaitLearner(ctx, added); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	leader := d.leader()
	if leader == nil {
		return false, errors.New("no store says that it leads")
	}
	var followers []*process
	for _, s := range before {
		if s != leader {
			followers = append(followers, s)
		}
	}
	still, leaving, wiped := followers[0], followers[1], followers[2:]
	d.record.note("the leader is %s; %s is to leave", leader.name, leaving.name)
	if trouble {
		if err := d.freezeThenKillAll(still, added); err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime)
	d.record.note("planned replacement: %s gets SIGTERM and does not come back", leaving.name)
	if err := leaving.signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	select {
	case <-leaving.exited:
		d.record.note("%s has ended", leaving.name)
	case <-time.After(8 * time.Second):
		leaving.kill()
	}
	time.Sleep(settleTime)
	if err := d.configure(ctx, 2); err != nil {
		return false, err
	}
	d.record.note("version 2 is acknowledged; at once %s and %s lose power and their disks", wiped[0].name, wiped[1].name)
	for _, s := range wiped {
		if err := s.signal(syscall.SIGKILL); err != nil {
			return false, err
		}
	}
	for _, s := range wiped {
		if err := d.wipe(s); err != nil {
			return false, err
		}
	}
	time.Sleep(downTime)
	for _, s := range wiped {
		if err := d.returnBlank(s); err != nil {
			return false, err
		}
	}
	return d.readBack(ctx, leaving), nil
}

// freezeThenKillAll stops a store for a while, then kills all stores at the same moment; the one
// named first is the first to return.
func (d *deployment) freezeThenKillAll(still, first *process) error {
	d.record.note("%s is stopped (SIGSTOP)", still.name)
	if err := still.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(freezeTime)
	if err := still.signal(syscall.SIGCONT); err != nil {
		return err
	}
	d.record.note("%s goes on (SIGCONT)", still.name)
	for _, s := range d.stores {
		if err := s.signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	d.record.note("all stores are killed; their disks stay")
	for _, s := range d.stores {
		<-s.exited
	}
	if err := errors.Join(d.settle(first, false), first.start()); err != nil {
		return err
	}
	d.record.note("%s is back", first.name)
	time.Sleep(returnTime)
	for _, s := range d.stores {
		if s == first {
			continue
		}
		if err := errors.Join(d.settle(s, false), s.start()); err != nil {
			return err
		}
		d.record.note("%s is back", s.name)
	}
	return nil
}

// awaitLearner waits until a new store follows a leader.
func awaitLearner(ctx context.Context, s *process) error {
	ctx, cancel := context.WithTimeout(ctx, learnTime)
	defer cancel()
	for ctx.Err() == nil {
		for _, line := range s.logged("Replica changes role") {
			if hasRole(line, "learner") && !strings.Contains(line, `"leader": 0}`) && !strings.Contains(line, `"leader":0}`) {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s does not join", s.name)
}

// readBack reads the configuration at all stores but one, again and again, and reports whether
// the version that was acknowledged last did not come.
func (d *deployment) readBack(ctx context.Context, gone *process) (broken bool) {
	end := time.Now().Add(readTime)
	for time.Now().Before(end) {
		for _, s := range d.stores {
			if s == gone {
				continue
			}
			status, version := d.readConfiguration(ctx, s)
			d.record.note("operator reads at %s: status %d, version %d", s.name, status, version)
			if version == 2 {
				d.record.note("CONFIG: version 2 was read back")
				return false
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	d.record.note("CONFIG: version 2 was acknowledged and does not come")
	return true
}

// readConfiguration returns the status of a read of the configuration, 0 without an answer, and
// the version that came.
func (d *deployment) readConfiguration(ctx context.Context, s *process) (status, version int) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.ip+":8146"+d.names.Get, nil)
	if err != nil {
		return 0, 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	var read struct {
		Version int `json:"version"`
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(body, &read) != nil {
		return resp.StatusCode, 0
	}
	return resp.StatusCode, read.Version
}
