// Package claims stores, for one region, the claims on calls that are not repeatable: which
// attempt may run each of them. A claim is on disk before it is granted.
//
// Keys are UUIDs of version 7 (RFC 9562), which contain their creation time. That bounds
// what must be stored: a key older than the time to live is refused whether it is stored
// or not, and after the loss of a disk, or its restoration from a copy, an unknown key created
// before the new disk was first used is answered as lost, never granted.
package claims

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/diskid"
	"wheelgauge/wal"
)

const (
	logFile             = "claims.log"
	maxBatch            = 256
	uuidLength          = 36
	rewriteAfterRecords = 20_000
	maxBodyBytes        = 64 << 10
)

// Options of a Table.
type Options struct {
	Dir string
	// TTL is how long after its creation a key is accepted; 24 h when zero.
	TTL time.Duration
	// MaxSkew is the largest clock difference that is tolerated; 2 min when zero.
	MaxSkew time.Duration
	// Now returns the time; time.Now when nil.
	Now func() time.Time
}

// record is one entry of the file on disk.
type record struct {
	// Since is when this disk was first used; set in the first record only.
	Since time.Time `json:"since,omitzero"`
	// Disk is the disk that the file was written on; set in the first record by Open.
	Disk  *diskid.ID        `json:"on,omitempty"`
	Claim *wheelgauge.Claim `json:"claim,omitempty"`
}

type request struct {
	claim wheelgauge.Claim
	done  chan outcome
}

type outcome struct {
	claim wheelgauge.Claim
	err   error
}

// Table holds the claims of a region. It is safe for concurrent use.
type Table struct {
	options             Options
	log                 *wal.Log
	disk                diskid.ID
	diskSince           time.Time
	mu                  sync.Mutex
	claims              map[string]wheelgauge.Claim
	recordsSinceRewrite int
	queue               chan request
	cancel              context.CancelFunc
	done                chan error
}

// Open reads the claims in the folder and starts the writer.
func Open(ctx context.Context, options Options) (*Table, error) {
	if options.TTL == 0 {
		options.TTL = 24 * time.Hour
	}
	if options.MaxSkew == 0 {
		options.MaxSkew = 2 * time.Minute
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if err := wal.MakeDir(options.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("create claims folder: %w", err)
	}
	disk, err := diskid.Read(options.Dir)
	if err != nil {
		return nil, fmt.Errorf("open claims: %w", err)
	}
	log, records, err := wal.Open(filepath.Join(options.Dir, logFile))
	if err != nil {
		return nil, fmt.Errorf("open claims: %w", err)
	}
	t := &Table{options: options, log: log, disk: disk, claims: map[string]wheelgauge.Claim{}, queue: make(chan request, maxBatch), done: make(chan error, 1)}
	if err := t.replay(records); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	if err := t.compact(); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	ctx, t.cancel = context.WithCancel(ctx)
	go func() { t.done <- t.run(ctx) }()
	return t, nil
}

func (t *Table) replay(records [][]byte) error {
	t.diskSince = t.options.Now()
	for i, data := range records {
		var r record
		if err := json.Unmarshal(data, &r); err != nil {
			return fmt.Errorf("decode claims: %w", err)
		}
		// A copy keeps its claims, but lacks those that were taken after it was made.
		if i == 0 && (r.Disk == nil || t.disk.Matches(*r.Disk)) {
			t.diskSince = r.Since
		}
		if r.Claim != nil {
			t.put(*r.Claim)
		}
	}
	return nil
}

func (t *Table) put(c wheelgauge.Claim) {
	if c.State == wheelgauge.ClaimReleased {
		delete(t.claims, mapKey(c))
		return
	}
	t.claims[mapKey(c)] = c
}

func mapKey(c wheelgauge.Claim) string { return c.Client + "\x00" + c.Key }

// Close stops the writer, waits for it and closes the file.
func (t *Table) Close() error {
	t.cancel()
	return errors.Join(<-t.done, t.log.Close())
}

// Len returns the number of claims stored.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.claims)
}

// KeyTime returns the creation time of a key; its error is a *wheelgauge.Error that states
// the required format.
func KeyTime(key string) (time.Time, error) {
	bad := wheelgauge.NewError(wheelgauge.ReasonBadRequest, wheelgauge.OutcomeNotRun, http.StatusBadRequest,
		wheelgauge.HeaderIdempotencyKey+" must be a UUID of version 7")
	if len(key) != uuidLength || key[8] != '-' || key[13] != '-' || key[14] != '7' {
		return time.Time{}, bad
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != 16 {
		return time.Time{}, bad
	}
	var ms int64
	for _, b := range raw[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), nil
}

// Take requests a claim (state new) or ends one (state done or released). It
// returns once the result is on disk. A recorded body larger than maxBodyBytes is
// dropped.
func (t *Table) Take(ctx context.Context, c wheelgauge.Claim) (wheelgauge.Claim, error) {
	if len(c.Body) > maxBodyBytes {
		c.Body = nil
	}
	q := request{claim: c, done: make(chan outcome, 1)}
	select {
	case t.queue <- q:
	case <-ctx.Done():
		return c, unavailable(wheelgauge.OutcomeNotRun)
	}
	select {
	case o := <-q.done:
		return o.claim, o.err
	case <-ctx.Done():
		return c, unavailable(wheelgauge.OutcomeUnknown)
	}
}

func unavailable(outcome wheelgauge.Outcome) *wheelgauge.Error {
	return wheelgauge.NewError(wheelgauge.ReasonClaimStore, outcome, http.StatusServiceUnavailable, "the claim store does not answer").WithRetryAfter(time.Second)
}

func (t *Table) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case q := <-t.queue:
			if err := t.commit(t.batch(q)); err != nil {
				return err
			}
		}
	}
}

func (t *Table) batch(first request) []request {
	out := []request{first}
	for len(out) < maxBatch {
		select {
		case q := <-t.queue:
			out = append(out, q)
		default:
			return out
		}
	}
	return out
}

// commit decides on a batch of requests, writes it with one sync and answers it. If the
// write fails, the table is rolled back.
func (t *Table) commit(batch []request) error {
	outcomes := make([]outcome, len(batch))
	var records [][]byte
	previous := map[string]wheelgauge.Claim{}
	t.mu.Lock()
	for i, q := range batch {
		prev, exists := t.claims[mapKey(q.claim)]
		answer, write, err := t.decide(q.claim, prev, exists)
		outcomes[i] = outcome{answer, err}
		if write == nil {
			continue
		}
		if _, ok := previous[mapKey(q.claim)]; !ok {
			previous[mapKey(q.claim)] = prev
		}
		t.put(*write)
		data, err := json.Marshal(record{Claim: write})
		if err != nil {
			outcomes[i].err = fmt.Errorf("encode claim: %w", err)
			continue
		}
		records = append(records, data)
	}
	t.mu.Unlock()
	if err := t.write(records); err != nil {
		t.rollBack(previous)
		for i := range outcomes {
			outcomes[i].err = unavailable(wheelgauge.OutcomeNotRun)
		}
	}
	for i, q := range batch {
		q.done <- outcomes[i]
	}
	return t.compactIfDue(len(records))
}

func (t *Table) write(records [][]byte) error {
	if len(records) == 0 {
		return nil
	}
	return t.log.Append(records...)
}

func (t *Table) rollBack(previous map[string]wheelgauge.Claim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, prev := range previous {
		delete(t.claims, n)
		if prev.Key != "" {
			t.claims[n] = prev
		}
	}
}

// decide returns the answer to c and the claim to write for it, if any.
func (t *Table) decide(c, prev wheelgauge.Claim, exists bool) (wheelgauge.Claim, *wheelgauge.Claim, error) {
	if c.State != wheelgauge.ClaimNew {
		return t.decideEnd(c, prev, exists)
	}
	if exists {
		return decideRepeated(c, prev)
	}
	made, err := KeyTime(c.Key)
	if err != nil {
		return c, nil, err
	}
	now := t.options.Now()
	if made.After(now.Add(t.options.MaxSkew)) {
		return c, nil, wheelgauge.NewError(wheelgauge.ReasonBadRequest, wheelgauge.OutcomeNotRun, http.StatusBadRequest, "the key's creation time is in the future")
	}
	if now.Sub(made) > t.options.TTL || !made.After(t.diskSince.Add(t.options.MaxSkew)) && !t.isFirstDisk() {
		c.State = wheelgauge.ClaimLost
		return c, nil, nil
	}
	running := c
	running.State = wheelgauge.ClaimRunning
	return c, &running, nil
}

// isFirstDisk reports whether the operator set up this disk as the region's first by
// Initialize: then no earlier claim can have been lost.
func (t *Table) isFirstDisk() bool { return t.diskSince.IsZero() }

func decideRepeated(c, prev wheelgauge.Claim) (wheelgauge.Claim, *wheelgauge.Claim, error) {
	if prev.State == wheelgauge.ClaimRunning && prev.Holder == c.Holder {
		return c, nil, nil // the holder retries: its first answer was lost
	}
	if c.Digest != prev.Digest {
		return prev, nil, wheelgauge.NewError(wheelgauge.ReasonConflict, wheelgauge.OutcomeNotRun, http.StatusConflict, "this key was already used for another request")
	}
	return prev, nil, nil
}

// decideEnd records the outcome of a running claim, from its holder only.
func (t *Table) decideEnd(c, prev wheelgauge.Claim, exists bool) (wheelgauge.Claim, *wheelgauge.Claim, error) {
	if !exists || prev.Holder != c.Holder || prev.State != wheelgauge.ClaimRunning {
		return prev, nil, nil
	}
	return c, &c, nil
}

func (t *Table) compactIfDue(added int) error {
	t.recordsSinceRewrite += added
	if t.recordsSinceRewrite < rewriteAfterRecords {
		return nil
	}
	return t.compact()
}

// compact drops the keys that are refused by their age and rewrites the file.
func (t *Table) compact() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordsSinceRewrite = 0
	oldest := t.options.Now().Add(-t.options.TTL - t.options.MaxSkew)
	first, err := json.Marshal(record{Since: t.diskSince, Disk: &t.disk})
	if err != nil {
		return fmt.Errorf("encode claims: %w", err)
	}
	records := [][]byte{first}
	for n, c := range t.claims {
		if made, err := KeyTime(c.Key); err != nil || made.Before(oldest) {
			delete(t.claims, n)
			continue
		}
		data, err := json.Marshal(record{Claim: &c})
		if err != nil {
			return fmt.Errorf("encode claim: %w", err)
		}
		records = append(records, data)
	}
	if err := t.log.Rewrite(records...); err != nil {
		return fmt.Errorf("rewrite claims: %w", err)
	}
	return nil
}

// Initialize initializes dir as a region's first claim disk, which means that no earlier
// claims can have been lost.
func Initialize(dir string) error {
	if err := wal.MakeDir(dir, 0o700); err != nil {
		return fmt.Errorf("create claims folder: %w", err)
	}
	log, records, err := wal.Open(filepath.Join(dir, logFile))
	if err != nil {
		return fmt.Errorf("open claims: %w", err)
	}
	if len(records) > 0 {
		return errors.Join(fmt.Errorf("%s already holds claims", dir), log.Close())
	}
	data, err := json.Marshal(record{})
	if err != nil {
		return errors.Join(fmt.Errorf("encode claims: %w", err), log.Close())
	}
	return errors.Join(log.Append(data), log.Close())
}
