package testkit

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// listeningMessage is the log message that carries an instance's addresses.
const listeningMessage = "listening"

// Process is a running instance.
type Process struct {
	ID         string
	DataCentre string
	// Server is the base URL for callers, Peer the IP:port for other instances.
	Server string
	Peer   string

	cmd    *exec.Cmd
	exited chan struct{}
	err    error
	log    *logBuffer
}

// listening is the log line that an instance writes once it listens.
type listening struct {
	Message string `json:"msg"`
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
}

// Launch starts a command and captures its output as the log, also in a file of
// logDir unless that is empty. It does not wait until the process is ready.
func Launch(binary, role, id string, env []string, logDir string) (*Process, error) {
	p := &Process{ID: id}
	return p, p.launch(binary, role, env, logDir, nil)
}

// launch starts the process; onLine, if not nil, receives each line of its log.
func (p *Process) launch(binary, role string, env []string, logDir string, onLine func(string)) error {
	p.cmd = exec.Command(binary, role)
	p.cmd.Env = append(os.Environ(), env...)
	p.exited = make(chan struct{})
	p.log = &logBuffer{}
	if err := p.log.openFile(logDir, p.ID); err != nil {
		return err
	}
	output, err := p.cmd.StdoutPipe()
	if err != nil {
		return errors.Wrap(err, "pipe")
	}
	p.cmd.Stderr = p.cmd.Stdout
	if err := p.cmd.Start(); err != nil {
		return errors.Wrap(err, "start")
	}
	go p.read(output, onLine)
	return nil
}

// startInstance starts an instance and waits until it has logged its addresses.
func startInstance(binary string, env []string, logDir string, p *Process) error {
	addresses := make(chan listening, 1)
	err := p.launch(binary, "run", env, logDir, func(text string) {
		var line listening
		if json.Unmarshal([]byte(text), &line) == nil && line.Message == listeningMessage {
			addresses <- line
		}
	})
	if err != nil {
		return err
	}
	select {
	case line := <-addresses:
		p.Server = "http://" + line.Callers
		p.Peer = line.Peers
		return nil
	case <-p.exited:
		return errors.Newf("instance %s ended before it logged its addresses: %v\n%s", p.ID, p.err, p.Log())
	}
}

// read captures the log of the process, then waits for its exit.
func (p *Process) read(output io.Reader, onLine func(string)) {
	scanner := bufio.NewScanner(output)
	scanner.Buffer(make([]byte, 0, 64<<10), 4<<20)
	for scanner.Scan() {
		p.log.add(scanner.Text())
		if onLine != nil {
			onLine(scanner.Text())
		}
	}
	p.err = p.cmd.Wait()
	p.log.close()
	close(p.exited)
}

// Kill sends SIGKILL and waits for the exit.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Pause suspends the process (SIGSTOP).
func (p *Process) Pause() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process (SIGCONT).
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate requests a graceful shutdown (SIGTERM).
func (p *Process) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Exited returns a channel that is closed once the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit code of an exited process.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Log returns the last lines of the log.
func (p *Process) Log() string { return p.log.String() }

// logBuffer keeps the last lines of a log and writes all lines to an optional
// file.
type logBuffer struct {
	mu    sync.Mutex
	lines []string
	file  *os.File
}

// maxLogLines is the number of lines that a logBuffer keeps.
const maxLogLines = 2000

// openFile creates the log file of an instance in dir, or none if dir is empty.
func (b *logBuffer) openFile(dir, id string) error {
	if dir == "" {
		return nil
	}
	var err error
	b.file, err = os.Create(filepath.Join(dir, id+".log"))
	return errors.Wrap(err, "create log file")
}

func (b *logBuffer) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.file != nil {
		_ = b.file.Close()
	}
}

func (b *logBuffer) add(line string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.file != nil {
		_, _ = b.file.WriteString(line + "\n")
	}
	b.lines = append(b.lines, line)
	if len(b.lines) > maxLogLines {
		b.lines = b.lines[len(b.lines)-maxLogLines:]
	}
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.lines, "\n")
}
