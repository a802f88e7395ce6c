package lab

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// readyTimeout bounds the start of an instance.
	readyTimeout = 15 * time.Second
	// settingsTemplate has the fields that a process of a small deployment gets.
	settingsTemplate = `node=%[1]s
role=entry
machineClass=front
serves=front,control
ip=%[2]s
zone=%[3]s
region=region-1
listen.front=%[2]s:8740
listen.ready=%[2]s:8749
listen.control=%[2]s:8748
internalPorts=7200,7215
seeds=%[4]s
bootstrap=true
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,rollout,pressure,platform
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.contactMs=3000
bounds.drainMs=2000
bounds.graceS=8
bounds.configApplyMs=2000
bounds.outerMs=5000
bounds.retryBudgetRatio=0.8
bounds.budgetWindowS=10
bounds.budgetSlack=150
bounds.exposeShare=0.1
bounds.badVersionSlack=50
bounds.rollbackMs=5000
bounds.recoveryS=12
platformSettings.address=%[5]s
platformSettings.form=kv
platformSettings.writesPerS=400
platformSettings.readsPerS=2000
platformSettings.historyS=20
platformSettings.valueBytes=1048576
platformSettings.ttlMinMs=1000
`
)

// Instance is one process of the entry instance.
type Instance struct {
	Name string
	IP   string

	settings string
	cmd      *exec.Cmd
	done     chan struct{}
	log      *os.File
}

// Deployment is a small deployment; NewDeployment returns one.
type Deployment struct {
	Store     *Store
	Record    *Record
	Instances []*Instance

	dir    string
	daemon string
	stop   sync.Once
}

// NewDeployment prepares a deployment with a number of instances, one in each zone in turn.
func NewDeployment(rec *Record, instances, zones int) (*Deployment, error) {
	daemon, err := filepath.Abs("target/bambooferryd")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(daemon); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Store: NewStore(), Record: rec, dir: dir, daemon: daemon}
	subnet, err := freeSubnet(instances)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(instances, 3) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:8748", subnet, i+1))
	}
	for i := range instances {
		in := &Instance{Name: fmt.Sprintf("instance-%d", i+1), IP: fmt.Sprintf("%s.%d", subnet, i+1)}
		storeAddress, err := d.Store.Listen(in.Name)
		if err != nil {
			return nil, err
		}
		in.settings = filepath.Join(dir, in.Name+".conf")
		text := fmt.Sprintf(settingsTemplate, in.Name, in.IP, ZoneName(i%zones), strings.Join(seeds, ","), storeAddress)
		if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		d.Instances = append(d.Instances, in)
	}
	return d, nil
}

// ZoneName returns the name of a zone.
func ZoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i) }

// freeSubnet returns the first three numbers of loopback addresses whose ports nobody uses.
func freeSubnet(instances int) (string, error) {
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
		free := true
		for i := range instances {
			for _, port := range []int{8740, 8748, 8749, 7200, 7201} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, i+1, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return subnet, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// Start starts all instances and waits until they are ready.
func (d *Deployment) Start() error {
	d.stopOnSignal()
	for _, in := range d.Instances {
		if err := d.StartInstance(in); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, in := range d.Instances {
		for !in.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", in.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
		d.Record.Printf("%s is ready", in.Name)
	}
	return nil
}

// stopOnSignal ends all processes, and this one, when it is told to stop.
func (d *Deployment) stopOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		d.Stop()
		os.Exit(2)
	}()
}

// StartInstance starts the process of an instance.
func (d *Deployment) StartInstance(in *Instance) error {
	log, err := os.OpenFile(filepath.Join(d.dir, in.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(d.daemon)
	cmd.Env = []string{"BAMBOOFERRY_SETTINGS=" + in.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	in.cmd, in.done, in.log = cmd, done, log
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// Ready reports whether an instance says that it is ready.
func (in *Instance) Ready() bool {
	c := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + in.IP + ":8749/api/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Signal sends a signal to the instance's process.
func (in *Instance) Signal(s syscall.Signal) { _ = in.cmd.Process.Signal(s) }

// Kill ends the instance's process and waits for its end.
func (in *Instance) Kill() {
	in.Signal(syscall.SIGKILL)
	<-in.done
}

// Running reports whether the instance's process runs.
func (in *Instance) Running() bool {
	select {
	case <-in.done:
		return false
	default:
		return true
	}
}

// Stop ends all processes; their logs are kept if the variable KEEP_LOGS is set.
func (d *Deployment) Stop() {
	d.stop.Do(func() {
		for _, in := range d.Instances {
			if in.cmd != nil {
				in.Kill()
			}
		}
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			for _, in := range d.Instances {
				data, _ := os.ReadFile(filepath.Join(d.dir, in.Name+".log"))
				_ = os.WriteFile(filepath.Join(keep, in.Name+".log"), data, 0o600)
			}
		}
		_ = os.RemoveAll(d.dir)
	})
}
