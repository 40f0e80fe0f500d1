// Package systemtest runs the real programs, each host on an address of its
// own, behind a fault-injecting proxy.
package systemtest

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// binaries is the folder of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "wheelgauge-systemtest-")
	if err != nil {
		return 1, err
	}
	defer os.RemoveAll(dir)
	args := []string{"build", "-o", dir + "/"}
	if raceEnabled {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "wheelgauge/cmd/...")...)
	if out, err := build.CombinedOutput(); err != nil {
		return 1, fmt.Errorf("build programs: %w\n%s", err, out)
	}
	binaries = dir
	return m.Run(), nil
}

// process is a running program.
type process struct {
	t    testing.TB
	name string
	cmd  *exec.Cmd
	log  *logFile
	done chan error
	gone bool
}

// logFile keeps what a program writes.
type logFile struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logFile) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logFile) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// start runs a program until the test ends.
func start(t testing.TB, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, log: &logFile{}, done: make(chan error, 1)}
	p.cmd = exec.Command(filepath.Join(binaries, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() { p.done <- p.cmd.Wait() }()
	t.Cleanup(p.cleanup)
	return p
}

func (p *process) cleanup() {
	if !p.gone {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	text := p.log.String()
	if strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic:") {
		p.t.Errorf("%s: race or panic:\n%s", p.name, text)
		return
	}
	if p.t.Failed() {
		p.t.Logf("log of %s:\n%s", p.name, lastLines(text, 25))
	}
}

func lastLines(text string, n int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

func (p *process) signal(s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Errorf("signal %s: %v", p.name, err)
	}
}

// kill ends the program at once and waits.
func (p *process) kill() {
	p.gone = true
	p.signal(syscall.SIGKILL)
	<-p.done
}

// terminate asks the program to stop and returns how it ended.
func (p *process) terminate(limit time.Duration) error {
	p.t.Helper()
	p.gone = true
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.done:
		return err
	case <-time.After(limit):
		p.signal(syscall.SIGKILL)
		<-p.done
		return fmt.Errorf("%s did not stop in %s", p.name, limit)
	}
}

// fails waits until the program ends by itself, with an error.
func (p *process) fails(limit time.Duration) {
	p.t.Helper()
	select {
	case err := <-p.done:
		p.gone = true
		if err == nil {
			p.t.Fatalf("%s ended without an error", p.name)
		}
	case <-time.After(limit):
		p.t.Fatalf("%s still runs after %s", p.name, limit)
	}
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }

// command runs a program to its end and returns its output.
func command(program string, args ...string) (string, error) {
	out, err := exec.Command(filepath.Join(binaries, program), args...).CombinedOutput()
	return string(out), err
}

// eventually waits for a condition.
func eventually(t testing.TB, limit time.Duration, what string, check func() error) {
	t.Helper()
	end := time.Now().Add(limit)
	err := check()
	for err != nil && time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
		err = check()
	}
	if err != nil {
		t.Fatalf("%s: not within %s: %v", what, limit, err)
	}
}

// write puts a file under dir and returns its path.
func write(t testing.TB, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
