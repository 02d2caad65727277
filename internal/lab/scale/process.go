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

// Times of a process.
const (
	readyWithin = 20 * time.Second // until a process that was started answers operators
	endWithin   = 15 * time.Second // until one that was asked to end has
	askEvery    = 50 * time.Millisecond
	callTime    = 3 * time.Second
	keptLog     = 600 // bytes of the last that a process wrote
)

// operatorsFile has the view on whatever datagrams are priced at.
const operatorsFile = "fleet {\n\tview on\n}\n"

// process is a router that runs the program.
type process struct {
	number  int
	program string
	folder  string
	config  []byte // the platform's configuration
	admin   string // where operators call

	command *exec.Cmd // nil while it is down
	ended   chan struct{}
	log     lastLines
}

// lastLines keeps the last of what is written to it.
type lastLines struct {
	mu   sync.Mutex
	kept []byte
}

// Write implements io.Writer.
func (l *lastLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kept = append(l.kept, b...)
	l.kept = bytes.Clone(l.kept[max(0, len(l.kept)-keptLog):])
	return len(b), nil
}

func (l *lastLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(bytes.TrimSpace(l.kept))
}

// start starts the process and waits until it answers operators.
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
	return p.ready(ctx)
}

// ready waits until the process answers operators.
func (p *process) ready(ctx context.Context) error {
	late := time.NewTimer(readyWithin)
	defer late.Stop()
	for {
		if p.call(ctx, http.MethodGet, "/v1/readyz") == nil {
			return nil
		}
		select {
		case <-p.ended:
			return fmt.Errorf("router %d has ended: %s", p.number, p.log.String())
		case <-late.C:
			return fmt.Errorf("router %d does not answer within %v", p.number, readyWithin)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(askEvery):
		}
	}
}

// call makes an operators' call.
func (p *process) call(ctx context.Context, method, path string) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
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

// leave asks the process to end and waits until it has.
func (p *process) leave() error {
	p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		p.command = nil
		return nil
	case <-time.After(endWithin):
		p.crash()
		return fmt.Errorf("router %d has not ended within %v of SIGTERM", p.number, endWithin)
	}
}

// drain asks the fleet that this router may be out, or has it serve again. What the fleet has refused so far it is asked again by
// the router itself.
func (p *process) drain(on bool) error {
	path := "/v1/fleet/activate"
	if on {
		path = "/v1/fleet/drain"
	}
	return p.call(context.Background(), http.MethodPost, path)
}

// report is the router's whole view.
func (p *process) report(ctx context.Context) (*peers.Report, error) {
	asked := peers.Ask(ctx, p.admin)
	if asked.View == nil {
		return nil, fmt.Errorf("router %d: %s", p.number, asked.Err)
	}
	return asked.View, nil
}

// runs tells whether it is up.
func (p *process) runs() bool {
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

// end ends the process for good.
func (p *process) end() { p.crash() }

// pid is that of the process, which runs.
func (p *process) pid() int { return p.command.Process.Pid }

// platformConfig is what a process is told, in the platform's form.
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

// text is the configuration as a file has it.
func (c *platformConfig) text() ([]byte, error) {
	c.Name = "router" + strconv.Itoa(c.Settings["selfIndex"].(int))
	c.Limits = platformLimits{Cores: 1, MemoryMB: 192, Sockets: 1024}
	return json.Marshal(c)
}
