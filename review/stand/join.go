package main

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"
)

const (
	// catchUpTime is how long a machine counts as lost after it is back.
	catchUpTime = 4 * time.Second
	// strikeAfter is how long after catchUpTime the configuration is sent and the final fault
	// strikes.
	strikeAfter = 250 * time.Millisecond
)

// playJoin freezes the first seed while another store comes back with an empty disk. Once that one
// counts as lost no more, a configuration is acknowledged, and the frozen store and one more lose
// their disks: never more than two machines are lost at once.
func playJoin(ctx context.Context, d *deployment, trouble bool) (broken bool, err error) {
	if err := d.start(ctx); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	still, blank, sound := d.stores[0], d.stores[3], d.stores[2]
	wiped := []*process{still, d.stores[1]}
	if leader := d.leader(); leader != nil {
		d.record.note("the leader is %s", leader.name)
	}
	if trouble {
		d.record.note("%s, the first seed, is stopped (SIGSTOP)", still.name)
		if err := still.signal(syscall.SIGSTOP); err != nil {
			return false, err
		}
	}
	if err := errors.Join(d.wipe(blank), d.returnBlank(blank)); err != nil {
		return false, err
	}
	backAt := time.Now()
	time.Sleep(time.Until(backAt.Add(catchUpTime + strikeAfter)))
	d.record.note("%s has been back for longer than the time to catch up", blank.name)
	if err := d.configureAt(ctx, 2, sound); err != nil {
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
	return d.readBack(ctx, nil), nil
}

// wipe ends a store and empties its disk.
func (d *deployment) wipe(s *process) error {
	s.kill()
	d.record.note("%s has lost power and its disk", s.name)
	return os.RemoveAll(d.dataFolder(s))
}

// returnBlank starts a store with an empty disk.
func (d *deployment) returnBlank(s *process) error {
	d.record.note("%s is back, with an empty disk", s.name)
	return errors.Join(d.settle(s, false), s.start())
}
