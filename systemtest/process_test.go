// Package systemtest runs the real programs, each host on its own loopback
// address behind a fault-injecting proxy.
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

// binaries is the directory that holds the programs under test.
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
	t      testing.TB
	name   string
	cmd    *exec.Cmd
	log    *logBuffer
	done   chan error
	exited bool
}

// logBuffer collects the output of a program.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// start runs a program until the test ends.
func start(t testing.TB, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, log: &logBuffer{}, done: make(chan error, 1)}
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
	if !p.exited {
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

// kill sends SIGKILL and waits until the program has exited.
func (p *process) kill() {
	p.exited = true
	p.signal(syscall.SIGKILL)
	<-p.done
}

// terminate sends SIGTERM and returns the exit error; after limit it kills the
// program and returns an error that says so.
func (p *process) terminate(limit time.Duration) error {
	p.t.Helper()
	p.exited = true
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

// awaitFailure waits until the program exits on its own with an error.
func (p *process) awaitFailure(limit time.Duration) {
	p.t.Helper()
	select {
	case err := <-p.done:
		p.exited = true
		if err == nil {
			p.t.Fatalf("%s exited without an error, want one", p.name)
		}
	case <-time.After(limit):
		p.t.Fatalf("%s still runs after %s, want it to exit with an error", p.name, limit)
	}
}

// freeze stops the program with SIGSTOP, so that its connections stay open but
// nothing answers; thaw continues it.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }

// command runs a program to its end and returns its output.
func command(program string, args ...string) (string, error) {
	out, err := exec.Command(filepath.Join(binaries, program), args...).CombinedOutput()
	return string(out), err
}

// eventually polls check until it returns nil and fails the test after limit.
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

// writeFile creates a file in dir and returns its path.
func writeFile(t testing.TB, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
