// Package site runs a small site as separate processes on loopback: the
// platform, backend servers and entry processes. It is used by the demo and
// the process tests.
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

// startTimeout limits the wait for a process to print its ready line.
const startTimeout = 15 * time.Second

// Process is a started child process.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	exited chan struct{}

	// mu guards lines.
	mu    sync.Mutex
	lines []string
}

// maxOutputLines is the number of output lines kept per process.
const maxOutputLines = 4096

// startProcess starts a program and waits until ready accepts a line of its
// output and returns a value from it. The child is killed when this process
// dies.
func startProcess(ctx context.Context, name, program string, args []string, ready func(line string) (string, bool)) (*Process, string, error) {
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
	go p.readOutput(output, ready, found)
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	select {
	case value := <-found:
		return p, value, nil
	case <-p.exited:
		return nil, "", fmt.Errorf("%s exited before it was ready: %s", name, strings.Join(p.Lines(), "\n"))
	case <-ctx.Done():
		p.Kill()
		return nil, "", fmt.Errorf("%s was not ready within %v", name, startTimeout)
	}
}

func (p *Process) readOutput(output io.Reader, ready func(string) (string, bool), found chan<- string) {
	scanner := bufio.NewScanner(output)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		line := scanner.Text()
		p.mu.Lock()
		if len(p.lines) < maxOutputLines {
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

// Lines returns the first maxOutputLines lines of the process's output.
func (p *Process) Lines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Suspend suspends the process with SIGSTOP.
func (p *Process) Suspend() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume resumes a suspended process with SIGCONT.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate requests a graceful shutdown. Exited reports when the process has
// exited.
func (p *Process) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit code of a process that has exited.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }
