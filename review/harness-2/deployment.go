package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"text/template"
	"time"

	"github.com/jacinthrack/jacinthrack/platform/standin"
)

// The spellings of the users' platform are data: names of headers, and templates of the settings,
// the configuration and the record of a server.
//
//go:embed *.json *.tmpl
var data embed.FS

// headerNames are the names of the platform's headers.
var headerNames struct {
	RequestID        string `json:"request_id"`
	DeadlineMs       string `json:"deadline_ms"`
	Credential       string `json:"credential"`
	Tenant           string `json:"tenant_id"`
	ExpectInstance   string `json:"expect_instance"`
	Instance         string `json:"instance_id"`
	Seal             string `json:"seal"`
	NotExecuted      string `json:"not_executed"`
	Load             string `json:"load"`
	SettingsVariable string `json:"settings_variable"`
}

func init() {
	content, err := data.ReadFile("names.json")
	if err == nil {
		err = json.Unmarshal(content, &headerNames)
	}
	if err != nil {
		panic(err)
	}
}

// render fills in an embedded template.
func render(name string, values any) ([]byte, error) {
	t, err := template.ParseFS(data, name)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	err = t.Execute(&out, values)
	return out.Bytes(), err
}

// deployment is a store, gateways and servers on loopback addresses.
type deployment struct {
	dir      string // for settings and logs
	store    *standin.Store
	address  string // of the store
	gateways []*gatewayProcess
	servers  []*server
	cores    int
	timeoutS float64 // of all routes
	version  int     // of the configuration
	maxBody  int     // largest size of the body of a request, in bytes
	ports    int     // first port of the gateways
}

// defaultMaxBody is the limit in the example of the users' pages.
const defaultMaxBody = 64 << 20

// contact is the time without disruption after which a machine is in touch, contact_s of the settings
// and a margin.
const contact = 3500 * time.Millisecond

// newDeployment starts the store and writes the first configuration.
func newDeployment(cores int, timeoutS float64) (*deployment, error) {
	dir, err := os.MkdirTemp("", "jacinthrack-review-")
	if err != nil {
		return nil, err
	}
	ports, err := freePorts()
	if err != nil {
		return nil, err
	}
	d := &deployment{ports: ports, dir: dir, store: &standin.Store{}, cores: cores, timeoutS: timeoutS, maxBody: defaultMaxBody}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.address = listener.Addr().String()
	go func() {
		server := &http.Server{Handler: d.store, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
		_ = server.Serve(listener)
	}()
	return d, d.writeConfig()
}

// writeConfig writes the next version of the configuration.
func (d *deployment) writeConfig() error {
	d.version++
	content, err := render("config.json.tmpl", map[string]any{"Version": d.version, "Timeout": d.timeoutS, "MaxBody": d.maxBody})
	if err != nil {
		return err
	}
	d.store.Put("op", "config", content)
	return nil
}

// gatewayProcess is a process of the gateway, started with the command of the deploy file.
type gatewayProcess struct {
	name, ip string
	zone     string
	settings string // path
	log      string // path
	frontend string // address for clients
	command  *exec.Cmd
	exited   chan struct{}
}

// Ports on the loopback address of each gateway, from the first port of the deployment. They are the
// same on all gateways.
const (
	frontendPort  = 0
	readinessPort = 1
	directoryPort = 2
	internalPort  = 3
	portCount     = 19
)

// NoFreePortsError reports that no range of portCount ports was free.
type NoFreePortsError struct{}

func (*NoFreePortsError) Error() string { return "no free range of ports" }

// freePorts returns the first of portCount ports that no other program uses.
func freePorts() (int, error) {
	const first, last = 20000, 32000
	for base := first + os.Getpid()%1000; base < last; base += portCount {
		if allFree(base) {
			return base, nil
		}
	}
	return 0, &NoFreePortsError{}
}

func allFree(base int) bool {
	for port := base; port < base+portCount; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

// addGateway starts a gateway in a zone.
func (d *deployment) addGateway(zone string) (*gatewayProcess, error) {
	n := len(d.gateways) + 1
	g := &gatewayProcess{name: fmt.Sprintf("n%d", n), ip: fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, 1+os.Getpid()/128%250, n)}
	g.settings, g.log = filepath.Join(d.dir, g.name+".json"), filepath.Join(d.dir, g.name+".log")
	g.frontend = fmt.Sprintf("%s:%d", g.ip, d.ports+frontendPort)
	g.zone = zone
	if err := d.writeSettings(g, defaultGrace); err != nil {
		return nil, err
	}
	d.gateways = append(d.gateways, g)
	return g, g.start()
}

// defaultGrace is the time between SIGTERM and SIGKILL in the settings.
const defaultGrace = 6 * time.Second

// writeSettings writes the settings file of a gateway. They name a start of the whole system only for
// the first process. It replaces the file at once, so that the
// gateway never reads a part of it.
func (d *deployment) writeSettings(g *gatewayProcess, grace time.Duration) error {
	content, err := render("settings.json.tmpl", map[string]any{
		"Name": g.name, "IP": g.ip, "Zone": g.zone, "Bootstrap": g.command == nil, "Cores": d.cores, "Store": d.address,
		"Frontend": d.ports + frontendPort, "Readiness": d.ports + readinessPort, "Directory": d.ports + directoryPort,
		"Internal": d.ports + internalPort, "InternalEnd": d.ports + portCount - 1, "Grace": grace.Seconds(),
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.settings+".new", content, 0o600); err != nil {
		return err
	}
	return os.Rename(g.settings+".new", g.settings)
}

// start starts the process.
func (g *gatewayProcess) start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.command = exec.Command("target/jacinthrack-gateway", "serve")
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), headerNames.SettingsVariable + "=" + g.settings}
	g.command.Stdout, g.command.Stderr = log, log
	if err := g.command.Start(); err != nil {
		return err
	}
	processes.Store(g.command.Process.Pid, g.command.Process)
	exited := make(chan struct{})
	g.exited = exited
	go func(c *exec.Cmd) {
		_ = c.Wait()
		processes.Delete(c.Process.Pid)
		close(exited)
	}(g.command)
	return nil
}

// processes holds the processes of gateways that run, by process ID.
var processes sync.Map

// killAll kills all gateways.
func killAll() {
	processes.Range(func(_, process any) bool {
		_ = process.(*os.Process).Kill()
		return true
	})
}

// signal sends a signal to the process.
func (g *gatewayProcess) signal(s syscall.Signal) { _ = g.command.Process.Signal(s) }

// awaitReady waits until all gateways are ready and serve a request.
func (d *deployment) awaitReady() error {
	for _, g := range d.gateways {
		deadline := time.Now().Add(15 * time.Second)
		for {
			c := &client{address: g.frontend}
			answer := c.do(request{method: "GET", path: "/read/probe", id: newID("probe"), deadline: 3 * time.Second})
			c.close()
			if answer.status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return &notReadyError{gateway: g.name, status: answer.status}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// notReadyError reports a gateway that served no request after its start.
type notReadyError struct {
	gateway string
	status  int
}

func (e *notReadyError) Error() string {
	return fmt.Sprintf("gateway %s serves no requests, last status %d", e.gateway, e.status)
}

// close ends all processes that the deployment started.
func (d *deployment) close() {
	for _, g := range d.gateways {
		if g.command == nil || g.command.Process == nil {
			continue
		}
		g.signal(syscall.SIGCONT)
		g.signal(syscall.SIGKILL)
		<-g.exited
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	}
}
