// Package site runs a whole small site as separate processes on loopback: the
// platform, backend servers and entry processes. The demo and the tests with
// real processes use it.
package site

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// startTimeout bounds the wait for a process's ready line.
const startTimeout = 15 * time.Second

// Process is a started process.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	exited chan struct{}

	// mu guards lines.
	mu    sync.Mutex
	lines []string
}

// lineLimit bounds the output kept of a process, in lines.
const lineLimit = 4096

// start runs a program and waits until ready finds what it looks for in a line
// of its output. The process dies with this one.
func start(ctx context.Context, name, program string, args []string, ready func(line string) (string, bool)) (*Process, string, error) {
	p := &Process{Name: name, exited: make(chan struct{})}
	p.cmd = exec.Command(program, args...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.cmd.Stderr = os.Stderr
	output, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, "", err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, "", err
	}
	found := make(chan string, 1)
	go p.collect(output, ready, found)
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	select {
	case value := <-found:
		return p, value, nil
	case <-p.exited:
		return nil, "", fmt.Errorf("%s ended before it was ready: %s", name, strings.Join(p.Lines(), "\n"))
	case <-ctx.Done():
		p.Kill()
		return nil, "", fmt.Errorf("%s was not ready in time", name)
	}
}

func (p *Process) collect(output io.Reader, ready func(string) (string, bool), found chan<- string) {
	scanner := bufio.NewScanner(output)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		line := scanner.Text()
		p.mu.Lock()
		if len(p.lines) < lineLimit {
			p.lines = append(p.lines, line)
		}
		p.mu.Unlock()
		if value, ok := ready(line); ok {
			select {
			case found <- value:
			default:
			}
		}
	}
	_ = p.cmd.Wait()
	close(p.exited)
}

// Lines returns what the process has printed.
func (p *Process) Lines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Freeze stops the process until Thaw.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate asks for a graceful shutdown. Exited tells when it has ended.
func (p *Process) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit code of an ended process.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }
