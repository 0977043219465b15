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
	// stopTimeout is the time between SIGTERM and SIGKILL in Stop. It is longer
	// than any drain in the tests.
	stopTimeout = 15 * time.Second
	// logTailBytes is the maximum part of a log that an error message quotes.
	logTailBytes = 2000
)

// Process is one process that this package started.
type Process struct {
	Name    string
	logPath string
	cmd     *exec.Cmd
	done    chan struct{}
	err     error // exit error; valid once done is closed
}

// startRequests carries functions that start processes to one goroutine, which
// never ends and is locked to its thread. A process must not be started from
// any other thread, because the kernel sends the parent-death signal when the
// starting thread ends, not when the whole process ends.
var (
	startRequests   = make(chan func())
	startThreadOnce sync.Once
)

// runOnStartThread runs f on the thread that starts processes and waits until f
// returns.
func runOnStartThread(f func()) {
	startThreadOnce.Do(func() {
		go func() {
			runtime.LockOSThread()
			for f := range startRequests {
				f()
			}
		}()
	})
	finished := make(chan struct{})
	startRequests <- func() { f(); close(finished) }
	<-finished
}

// startProcess starts a binary that appends its output to logDir/name.log. The
// strings in env are added to the environment of this process.
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
	runOnStartThread(func() { err = p.cmd.Start() })
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

// Running reports whether the process has not ended. A paused process counts as
// running.
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

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Pause sends SIGSTOP.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Continue sends SIGCONT.
func (p *Process) Continue() error { return p.Signal(syscall.SIGCONT) }

// Wait waits until the process has ended and returns its exit error, or an
// error if the process has not ended within timeout.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("%s exited: %w; end of its log:\n%s", p.Name, p.err, p.LogTail())
		}
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s did not exit within %v; end of its log:\n%s", p.Name, timeout, p.LogTail())
	}
}

// Stop sends SIGTERM, after SIGCONT in case the process is paused, and waits
// until the process has ended. A process that has not ended after 15 s is
// killed, and Stop returns an error.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGCONT)
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	err := p.Wait(stopTimeout)
	if p.Running() {
		p.Kill()
	}
	return err
}

// Log returns the output of the process so far, or the error that prevented
// reading the log file.
func (p *Process) Log() string {
	raw, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// LogTail returns the last lines of the log, at most 2000 bytes.
func (p *Process) LogTail() string {
	raw := []byte(p.Log())
	if len(raw) > logTailBytes {
		raw = raw[len(raw)-logTailBytes:]
		if newline := bytes.IndexByte(raw, '\n'); newline >= 0 {
			raw = raw[newline+1:]
		}
	}
	return string(raw)
}
