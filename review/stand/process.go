package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
)

// process is one of the project's programs.
type process struct {
	name    string
	zone    string
	region  string
	ip      string
	program string
	file    string
	log     string
	cmd     *exec.Cmd
	exited  chan struct{}
}

// start runs the program with the command of the deploy file, its settings file at another path.
func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log of %s: %w", p.name, err)
	}
	p.cmd = exec.Command(filepath.Join("target", p.program), "routes", "--config", p.file)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return errors.Join(fmt.Errorf("start %s: %w", p.name, err), out.Close())
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // a killed process is no error
		_ = out.Close()
		close(exited)
	}(p.cmd, p.exited)
	return nil
}

// signal sends a signal to the program.
func (p *process) signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", p.name, err)
	}
	return nil
}

// kill ends the program and waits for its end.
func (p *process) kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.exited
}

// logged returns the lines of the program's log that hold a text.
func (p *process) logged(text string) []string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return nil
	}
	var out []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}
