package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"hoptiller/internal/fleet/peers"
)

// Timeouts, the poll interval and the log size of a process.
const (
	readyTimeout = 20 * time.Second // from the start of a process until it answers operators' calls
	endTimeout   = 15 * time.Second // from SIGTERM until the process has ended
	pollInterval = 50 * time.Millisecond
	callTimeout  = 3 * time.Second
	logTailBytes = 600 // length of the log's end that is kept
)

// operatorsFile turns the view on, whatever datagrams cost.
const operatorsFile = "fleet {\n\tview on\n}\n"

// process is a router that runs as a process of the router's program.
type process struct {
	number  int
	program string
	folder  string
	config  []byte // in the platform's format
	admin   string // address for operators' calls

	command *exec.Cmd // nil while the process is down
	ended   chan struct{}
	log     logTail
}

// logTail keeps the last logTailBytes of what is written to it.
type logTail struct {
	mu   sync.Mutex
	tail []byte
}

// Write implements io.Writer.
func (l *logTail) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tail = append(l.tail, b...)
	l.tail = bytes.Clone(l.tail[max(0, len(l.tail)-logTailBytes):])
	return len(b), nil
}

func (l *logTail) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(bytes.TrimSpace(l.tail))
}

// start starts the process and waits until it answers operators' calls.
func (p *process) start(ctx context.Context) error {
	configPath, filePath := filepath.Join(p.folder, "config.json"), filepath.Join(p.folder, "view.hop")
	if err := os.MkdirAll(p.folder, 0o700); err != nil {
		return err
	}
	if err := os.WriteFile(configPath, p.config, 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(filePath, []byte(operatorsFile), 0o600); err != nil {
		return err
	}
	command := exec.Command(p.program)
	command.Env = append(os.Environ(), "RELAY_CONFIG="+configPath, "HOPTILLER_FILE="+filePath)
	command.Stdout, command.Stderr = &p.log, &p.log
	if err := command.Start(); err != nil {
		return fmt.Errorf("router %d: %w", p.number, err)
	}
	ended := make(chan struct{})
	go func() {
		command.Wait()
		close(ended)
	}()
	p.command, p.ended = command, ended
	return p.waitReady(ctx)
}

// waitReady waits until the process answers operators' calls.
func (p *process) waitReady(ctx context.Context) error {
	timeout := time.NewTimer(readyTimeout)
	defer timeout.Stop()
	for {
		if p.call(ctx, http.MethodGet, "/v1/readyz") == nil {
			return nil
		}
		select {
		case <-p.ended:
			return fmt.Errorf("router %d has ended: %s", p.number, p.log.String())
		case <-timeout.C:
			return fmt.Errorf("router %d does not answer within %v", p.number, readyTimeout)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// call makes an operators' call and discards the answer. Any status but 200 is an error.
func (p *process) call(ctx context.Context, method, path string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.admin+path, nil)
	if err != nil {
		return err
	}
	request.Close = true
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	io.Copy(io.Discard, answer.Body)
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("router %d answers %s to %s", p.number, answer.Status, path)
	}
	return nil
}

// crash kills the process.
func (p *process) crash() error {
	if p.command == nil {
		return nil
	}
	p.command.Process.Signal(syscall.SIGKILL)
	<-p.ended
	p.command = nil
	return nil
}

// leave sends SIGTERM and waits until the process has ended.
func (p *process) leave() error {
	p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		p.command = nil
		return nil
	case <-time.After(endTimeout):
		p.crash()
		return fmt.Errorf("router %d has not ended within %v of SIGTERM", p.number, endTimeout)
	}
}

// drain makes the router request a permit to be out of service, or serve again if on is false. The router itself repeats a
// permit request that the fleet refuses.
func (p *process) drain(on bool) error {
	path := "/v1/fleet/activate"
	if on {
		path = "/v1/fleet/drain"
	}
	return p.call(context.Background(), http.MethodPost, path)
}

// fetchView returns the router's complete view.
func (p *process) fetchView(ctx context.Context) (*peers.Report, error) {
	asked := peers.FetchReport(ctx, p.admin)
	if asked.Report == nil {
		return nil, fmt.Errorf("router %d: %s", p.number, asked.Err)
	}
	return asked.Report, nil
}

// isRunning reports whether the process is up.
func (p *process) isRunning() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// stop ends the process for good.
func (p *process) stop() { p.crash() }

// pid returns the id of the process, which must have been started.
func (p *process) pid() int { return p.command.Process.Pid }

// platformConfig is the configuration of a router in the platform's format.
type platformConfig struct {
	Name       string         `json:"name"`
	Listen     string         `json:"listen"`
	Discovery  string         `json:"discovery"`
	Admin      string         `json:"admin,omitempty"`
	Seed       string         `json:"seed"`
	Limits     platformLimits `json:"limits"`
	Settings   map[string]any `json:"settings"`
	PeerListen string         `json:"peer_listen"`
	Peers      []string       `json:"peers"`
}

type platformLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// encode fills in the name and the limits and returns the text of the configuration file.
func (c *platformConfig) encode() ([]byte, error) {
	c.Name = "router" + strconv.Itoa(c.Settings["selfIndex"].(int))
	c.Limits = platformLimits{Cores: 1, MemoryMB: 192, Sockets: 1024}
	return json.Marshal(c)
}
