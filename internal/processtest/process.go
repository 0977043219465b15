package processtest

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

const (
	// stopWait is how long Stop waits after SIGTERM before it kills. Longer
	// than any drain in the tests.
	stopWait = 15 * time.Second
	// logTail is how much of a log an error message quotes, in bytes.
	logTail = 2000
)

// Process is one process that this package started.
type Process struct {
	Name    string
	logPath string
	cmd     *exec.Cmd
	done    chan struct{}
	err     error // valid when done is closed
}

// starts are run by one goroutine that never ends and is locked to its thread:
// the kernel sends the parent-death signal when the starting thread ends.
var (
	starts      = make(chan func())
	startThread sync.Once
)

func onStartThread(f func()) {
	startThread.Do(func() {
		go func() {
			runtime.LockOSThread()
			for f := range starts {
				f()
			}
		}()
	})
	finished := make(chan struct{})
	starts <- func() { f(); close(finished) }
	<-finished
}

// startProcess starts a binary whose output goes to a file in logDir.
func startProcess(name, logDir, binary string, env []string, args ...string) (*Process, error) {
	p := &Process{Name: name, logPath: filepath.Join(logDir, name+".log"), done: make(chan struct{})}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(binary, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	onStartThread(func() { err = p.cmd.Start() })
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process. It does nothing once the process has
// ended.
func (p *Process) Signal(sig syscall.Signal) error {
	if !p.Running() {
		return nil
	}
	err := p.cmd.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Kill sends SIGKILL and waits for the end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Pause sends SIGSTOP.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Continue sends SIGCONT.
func (p *Process) Continue() error { return p.Signal(syscall.SIGCONT) }

// Wait waits for the end of the process and returns its exit error.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("%s: %w; end of its log:\n%s", p.Name, p.err, p.LogTail())
		}
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s has not ended after %v; end of its log:\n%s", p.Name, timeout, p.LogTail())
	}
}

// Stop sends SIGTERM (after SIGCONT, in case the process is paused), waits for
// the end, and kills the process when it does not end in time.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGCONT)
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	err := p.Wait(stopWait)
	if p.Running() {
		p.Kill()
	}
	return err
}

// Log returns what the process has written so far.
func (p *Process) Log() string {
	raw, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// LogTail returns the end of the log.
func (p *Process) LogTail() string {
	raw := []byte(p.Log())
	if len(raw) > logTail {
		raw = raw[len(raw)-logTail:]
		if at := bytes.IndexByte(raw, '\n'); at >= 0 {
			raw = raw[at+1:]
		}
	}
	return string(raw)
}
