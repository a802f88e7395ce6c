package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	portFront, portReady, portControl = 8740, 8749, 8748
	readyTimeout                      = 15 * time.Second
)

// settings are those that the platform gives to an instance.
const settings = `node=%[1]s
role=entry
machineClass=front
serves=front,control
ip=%[2]s
zone=%[3]s
region=region
zones.zone-a=region
zones.zone-b=region
zones.zone-c=region
listen.front=%[2]s:8740
listen.ready=%[2]s:8749
listen.control=%[2]s:8748
internalPorts=7200,7215
seeds=%[4]s
bootstrap=true
inFaultBudget=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,rollout,pressure,platform
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.downgradeSlackMs=250
bounds.outerMs=5000
bounds.strictRevoke=false
bounds.revokeMs=5000
bounds.retryBudgetRatio=0.8
bounds.budgetWindowS=10
bounds.budgetSlack=150
bounds.exposeShare=0.1
bounds.badVersionSlack=50
bounds.rollbackMs=5000
bounds.recoveryS=12
bounds.passMs=120
bounds.reuseWindowS=7.9
platformSettings.address=%[5]s
platformSettings.form=kv
platformSettings.writesPerS=400
platformSettings.readsPerS=2000
platformSettings.historyS=20
platformSettings.valueBytes=1048576
platformSettings.ttlMinMs=1000
`

var zones = []string{"zone-a", "zone-b", "zone-c"}

// instance is one process of bambooferryd.
type instance struct {
	name, ip string
	cmd      *exec.Cmd
	exited   chan struct{}
	exitErr  error
}

func (in *instance) front() string { return fmt.Sprintf("%s:%d", in.ip, portFront) }

// startInstance starts the program of the deploy file with a settings file, and its log in dir.
func startInstance(dir, name, ip, zone, seeds, storeAddress string) (*instance, error) {
	path := filepath.Join(dir, name+".conf")
	if err := os.WriteFile(path, fmt.Appendf(nil, settings, name, ip, zone, seeds, storeAddress), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	in := &instance{name: name, ip: ip, exited: make(chan struct{})}
	in.cmd = exec.Command("target/bambooferryd")
	in.cmd.Env = append(in.cmd.Env, "PATH="+os.Getenv("PATH"), "HOME="+os.Getenv("HOME"), "BAMBOOFERRY_SETTINGS="+path)
	in.cmd.Stdout, in.cmd.Stderr = log, log
	started.Lock()
	defer started.Unlock()
	if err := in.cmd.Start(); err != nil {
		return nil, err
	}
	started.list = append(started.list, in)
	go func() {
		in.exitErr = in.cmd.Wait()
		close(in.exited)
	}()
	return in, nil
}

// started holds all instances, so that none outlives the case.
var started struct {
	sync.Mutex
	list []*instance
}

// killAll ends all instances.
func killAll() {
	started.Lock()
	defer started.Unlock()
	for _, in := range started.list {
		in.kill()
	}
}

// awaitReady waits until the instance states that it is ready.
func (in *instance) awaitReady() error {
	c := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := c.Get(fmt.Sprintf("http://%s:%d/api/readyz", in.ip, portReady))
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", in.name)
}

// hasExited reports whether the process has ended.
func (in *instance) hasExited() bool {
	select {
	case <-in.exited:
		return true
	default:
		return false
	}
}

// memory returns the resident memory of the process in bytes.
func (in *instance) memory() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		kb := int64(0)
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb << 10
		}
	}
	return 0
}

// kill ends the process.
func (in *instance) kill() {
	if !in.hasExited() {
		_ = in.cmd.Process.Kill()
		<-in.exited
	}
}

// freeAddresses returns loopback addresses whose ports for instances are free.
func freeAddresses(base byte, n int) ([]string, error) {
	var list []string
	for third := 1; third < 250 && len(list) < n; third++ {
		ip := fmt.Sprintf("127.%d.%d.%d", base, 1+os.Getpid()%200, third)
		if isFree(ip, portFront, portReady, portControl, 7200, 7201) {
			list = append(list, ip)
		}
	}
	if len(list) < n {
		return nil, fmt.Errorf("no %d free loopback addresses", n)
	}
	return list, nil
}

func isFree(ip string, ports ...int) bool {
	for _, port := range ports {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// freePort returns an address with a free port on a loopback address.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
