package deployment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"bambooferry.example/bambooferry/internal/header"
	"bambooferry.example/bambooferry/internal/peer"
	"bambooferry.example/bambooferry/internal/platform"
	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/internal/standin/engine"
	standinplatform "bambooferry.example/bambooferry/internal/standin/platform"
	"bambooferry.example/bambooferry/internal/standin/service"
	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
	"bambooferry.example/bambooferry/pkg/version"
)

// Names and the API key that every deployment is set up with.
const (
	ModelName   = "ferry-llm"
	ServiceName = "pitch-app"
	APIKey      = "key-of-workspace-0"
	DataCentre  = "scot-central-1"
)

// Config describes the deployment to start.
type Config struct {
	Instances int
	Engines   int
	Services  int
	// EngineTemplate provides the settings of every engine.
	EngineTemplate *engine.Engine
	Limits         server.Limits
	// Events receives the events of all instances; it may be nil.
	Events io.Writer
	// PrepareInstance, if set, may modify an instance before it runs.
	PrepareInstance func(in *Instance)
	// EventsFor, if set, returns the writer for the events of one instance and replaces Events.
	EventsFor func(id string) io.Writer
	// LocalAdmission makes each instance enforce limits by its own counts only, as the baseline of measurements.
	LocalAdmission bool
	// RoutingPolicy names the policy that chooses targets; empty selects the default.
	RoutingPolicy string
	// SlotTimes holds the timing of slots and the roster; the zero value selects the defaults.
	SlotTimes server.SlotTimes
	// EditCatalogue, if set, modifies the catalogue before it is published.
	EditCatalogue func(*catalogue.Document)
	// VersionLimits replaces the default limits of version changes if its KeepWarm is above 0.
	VersionLimits version.Limits
	// StoreFor, if set, wraps the key-value client of one instance.
	StoreFor func(i int, c *platform.Client) (server.Store, server.Leaser)
}

// Deployment is a running deployment with the stand-ins and instances that it consists of.
type Deployment struct {
	Config    Config
	Platform  *standinplatform.Service
	Engines   []*engine.Engine
	Services  []*service.Service
	Instances []*Instance
	Catalogue *catalogue.Document

	ctx             context.Context
	cancel          context.CancelFunc
	group           sync.WaitGroup
	platformAddress netip.AddrPort
	// catalogueVersion is the version of the catalogue's value in the key-value service.
	catalogueVersion int64

	// mu guards Instances and disconnected.
	mu sync.Mutex
	// disconnected holds the pairs of instances, in both orders, that must not connect.
	disconnected map[[2]*Instance]bool
}

// Instance is one running instance, with control over its network connections and its end.
type Instance struct {
	*server.Server
	cancel      context.CancelFunc
	requestStop context.CancelFunc
	// Network sends and serves the instance's calls with other instances.
	Network      *peer.Network
	Slots        *server.Slots
	slotAdmitter *server.SlotAdmitter
	connections  connectionSet
	// killed is closed by Kill.
	killed       chan struct{}
	blockedPeers blockedPeers
	killOnce     sync.Once
	// done is closed when the server has returned.
	done     chan struct{}
	peerGate peerGate
}

// DefaultEngine returns an engine template that is fast enough for a demo.
func DefaultEngine() *engine.Engine {
	return &engine.Engine{
		Model: ModelName, Versions: []string{"v1"}, Slots: 8, MaxRequests: 16,
		FirstToken: 40 * time.Millisecond, TokenInterval: 10 * time.Millisecond,
		Linger: 5 * time.Second, Retention: 30 * time.Second, CacheBlocks: 1024, Seed: 1,
	}
}

// Start starts a deployment on free loopback ports and waits until it is ready.
func Start(ctx context.Context, cfg Config) (*Deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &Deployment{Config: cfg, Platform: &standinplatform.Service{}, ctx: ctx, cancel: cancel}
	if err := d.startPlatform(); err != nil {
		d.Close()
		return nil, err
	}
	d.startTargets()
	d.Catalogue = d.initialCatalogue()
	if cfg.EditCatalogue != nil {
		cfg.EditCatalogue(d.Catalogue)
	}
	if err := d.PutCatalogue(d.Catalogue); err != nil {
		d.Close()
		return nil, err
	}
	for i := range cfg.Instances {
		if err := d.startInstance(i); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, d.waitReady()
}

// Close stops all instances and stand-ins and waits for them.
func (d *Deployment) Close() {
	d.cancel()
	d.group.Wait()
}

func (d *Deployment) startPlatform() error {
	ln, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "start platform")
	}
	d.platformAddress = ln.Addr().(*net.TCPAddr).AddrPort()
	httpServer := &http.Server{Handler: d.Platform.Handler(), ReadHeaderTimeout: 5 * time.Second}
	d.group.Go(func() { _ = httpServer.Serve(ln) })
	d.group.Go(func() { <-d.ctx.Done(); _ = httpServer.Close() })
	return nil
}

func (d *Deployment) startTargets() {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	for i := range d.Config.Engines {
		template := d.Config.EngineTemplate
		e := &engine.Engine{
			Listen: loopback, Model: template.Model, Versions: template.Versions, Slots: template.Slots, MaxRequests: template.MaxRequests,
			FirstToken: template.FirstToken, TokenInterval: template.TokenInterval, Noise: template.Noise, Linger: template.Linger, Retention: template.Retention,
			CacheBlocks: template.CacheBlocks, Seed: template.Seed + uint64(i),
			Orders: engine.Orders{LoadTime: template.Orders.LoadTime, Store: template.Orders.Store},
		}
		d.Engines = append(d.Engines, e)
		d.group.Go(func() { _ = e.Run(d.ctx) })
	}
	for range d.Config.Services {
		s := &service.Service{Listen: loopback, Version: "v1", MaxCalls: 64}
		d.Services = append(d.Services, s)
		d.group.Go(func() { _ = s.Run(d.ctx) })
	}
}

// initialCatalogue returns the first revision of the catalogue.
func (d *Deployment) initialCatalogue() *catalogue.Document {
	modelEntry := catalogue.Entry{
		Name: ModelName, Owner: "assistant team", Kind: catalogue.Model, Class: catalogue.Interactive,
		Limits:  catalogue.Limits{InProgress: 10_000, Queue: 1000, Deadline: catalogue.Duration(5 * time.Minute), BodyBytes: 1 << 20, Tokens: 1 << 20},
		Version: "v1", Versions: []catalogue.Version{{Name: "v1"}},
	}
	for i, e := range d.Engines {
		modelEntry.Targets = append(modelEntry.Targets, catalogue.Target{
			Name: fmt.Sprintf("engine-%d", i), Address: e.Address(), DataCentre: DataCentre, Version: "v1", Slots: d.Config.EngineTemplate.Slots,
		})
	}
	serviceEntry := catalogue.Entry{
		Name: ServiceName, Owner: "booking team", Kind: catalogue.Service, Class: catalogue.Interactive,
		Limits:  catalogue.Limits{InProgress: 1000, Queue: 100, Deadline: catalogue.Duration(10 * time.Second), BodyBytes: 1 << 20},
		Version: "v1", Versions: []catalogue.Version{{Name: "v1"}},
	}
	for i, s := range d.Services {
		serviceEntry.Targets = append(serviceEntry.Targets, catalogue.Target{
			Name: fmt.Sprintf("service-%d", i), Address: s.Address(), DataCentre: DataCentre, Version: "v1", Slots: 32,
		})
	}
	doc := &catalogue.Document{Format: catalogue.FormatVersion, Revision: 1, Entries: []catalogue.Entry{modelEntry, serviceEntry}}
	for i := range 10 {
		doc.Workspaces = append(doc.Workspaces, catalogue.Workspace{
			Name: fmt.Sprintf("workspace-%d", i), KeySHA256: catalogue.HashKey(fmt.Sprintf("key-of-workspace-%d", i)), Weight: 1, InProgress: 10_000,
		})
	}
	return doc
}

// KeyValueClient returns a client of the key-value service.
func (d *Deployment) KeyValueClient() *platform.Client {
	return &platform.Client{Address: d.platformAddress, HTTP: &http.Client{}, Timeout: 2 * time.Second}
}

// PutCatalogue validates a revision of the catalogue and writes it to the key-value service.
func (d *Deployment) PutCatalogue(doc *catalogue.Document) error {
	if err := doc.Check(); err != nil {
		return err
	}
	data, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	d.catalogueVersion, err = d.KeyValueClient().CompareAndSwap(d.ctx, server.CatalogueKey, d.catalogueVersion, data)
	return err
}

// AddInstance starts one more instance with the given number, which may be that of an instance that has ended.
func (d *Deployment) AddInstance(i int) (*Instance, error) {
	if err := d.startInstance(i); err != nil {
		return nil, err
	}
	return d.Instances[len(d.Instances)-1], nil
}

func (d *Deployment) startInstance(i int) error {
	in, err := d.newInstance(i, "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.Instances = append(d.Instances, in)
	d.mu.Unlock()
	return d.runInstance(in)
}

// newInstance creates instance number i, which listens for other instances at peerAddress.
func (d *Deployment) newInstance(i int, peerAddress string) (*Instance, error) {
	ln, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "start instance")
	}
	peerListener, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", peerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "start instance")
	}
	in := &Instance{killed: make(chan struct{}), done: make(chan struct{})}
	in.connections = connectionSet{deployment: d, instance: in}
	in.Network = &peer.Network{
		Listener: &admittingListener{in.connections.wrapListener(peerListener), &in.peerGate}, DialTimeout: time.Second,
		Dial: in.peerGate.wrapDial(in.discardWhenBlocked(in.failWhenKilled(in.connections.dialPeer))),
	}
	in.Server = &server.Server{
		ID: fmt.Sprintf("instance-%d", i), Incarnation: time.Now().UnixNano(), DataCentre: DataCentre, Listener: ln,
		Store:  in.newKeyValueClient(d),
		Signer: generation.CursorSigner{Keys: [][]byte{[]byte("demo-cursor-key-0123456789abcdef")}},
		Board:  blackboard.New(), Log: zerolog.Nop(), Limits: d.Config.Limits,
		Client: in.newHTTPClient(), Metrics: metrics.NewSet(),
		Peers: in.Network, PeerAddress: in.Network.Address(), Lister: d.KeyValueClient(),
	}
	in.Events = &timeline.Writer{Out: in.eventWriter(d.Config), Instance: in.ID, Incarnation: in.Incarnation, Clock: &timeline.Clock{}}
	in.Versions = server.NewVersions(in.Server, d.KeyValueClient())
	if storeFor := d.Config.StoreFor; storeFor != nil {
		in.Store, in.Versions.Leases = storeFor(i, d.KeyValueClient())
	}
	in.Versions.Limits = d.Config.versionLimits()
	if err := d.initAdmission(in); err != nil {
		return nil, errors.Wrap(err, "start instance")
	}
	if d.Config.PrepareInstance != nil {
		d.Config.PrepareInstance(in)
	}
	return in, nil
}

// runInstance lists the instance at the platform and starts its goroutines.
func (d *Deployment) runInstance(in *Instance) error {
	if err := in.InitMembership(); err != nil {
		return errors.Wrap(err, "start instance")
	}
	d.Platform.Register(platform.ListedInstance{ID: in.ID, Address: in.PeerAddress, DataCentre: in.DataCentre, Incarnation: in.Incarnation})
	ctx, cancel := context.WithCancel(d.ctx)
	stopCtx, requestStop := context.WithCancel(ctx)
	in.cancel, in.requestStop = cancel, requestStop
	d.group.Go(func() { _ = in.Network.Run(ctx) })
	if in.Slots != nil {
		d.group.Go(func() { _ = in.Slots.Run(ctx) })
		d.group.Go(func() { _ = in.Pools.Run(ctx) })
		d.group.Go(func() { _ = in.slotAdmitter.Run(ctx) })
	}
	d.group.Go(func() { _ = in.RunMembership(ctx) })
	d.group.Go(func() { _ = in.FollowCatalogue(ctx) })
	d.group.Go(func() { _ = in.Versions.Run(ctx) })
	d.group.Go(func() {
		defer close(in.done)
		_ = in.Run(ctx, stopCtx)
		in.closeEvents()
	})
	return nil
}

// newHTTPClient returns a client whose connections are all closed when the instance is killed.
func (in *Instance) newHTTPClient() *http.Client {
	client := server.NewClient(time.Second)
	transport := client.Transport.(*header.Transport)
	transport.DialContext = in.failWhenKilled(in.connections.wrapDial(transport.DialContext))
	return client
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// failWhenKilled wraps dial so that it fails once the instance is killed.
func (in *Instance) failWhenKilled(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case <-in.killed:
			return nil, net.ErrClosed
		default:
			return dial(ctx, network, address)
		}
	}
}

// Kill stops the instance abruptly, as a crash would, without notifying targets. When it returns, the instance
// accepts no connections, and all connections to targets and other instances are closed.
func (in *Instance) Kill() {
	in.killOnce.Do(func() {
		close(in.killed)
		in.connections.deployment.Platform.Unregister(in.ID)
		in.cancel()
		_ = in.Network.Listener.Close()
		_ = in.Listener.Close()
		in.connections.closeAll()
	})
}

// Stop requests a graceful stop and returns a channel that is closed when the instance has stopped.
func (in *Instance) Stop() <-chan struct{} {
	in.requestStop()
	return in.done
}

// AddressesFrom returns the addresses of all instances in order, starting at index first and wrapping around.
func (d *Deployment) AddressesFrom(first int) []netip.AddrPort {
	var addresses []netip.AddrPort
	for i := range d.Instances {
		addresses = append(addresses, d.Instances[(first+i)%len(d.Instances)].Address())
	}
	return addresses
}

// readyTimeout bounds the start of all instances, also beside other deployments on a busy machine.
const readyTimeout = 20 * time.Second

// waitReady waits until every instance is ready and has no slot releases pending.
func (d *Deployment) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, in := range d.Instances {
		for !in.Ready() || in.Slots != nil && !in.Slots.NoReleasesPending() {
			if time.Now().After(deadline) {
				return errors.Newf("%s is not ready %v after the start: %s", in.ID, readyTimeout, d.readiness())
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// readiness describes, for each instance, what it knows and which slots it waits for.
func (d *Deployment) readiness() string {
	var all strings.Builder
	for _, in := range d.Instances {
		view, _ := server.Members.Get(in.Board)
		_, hasCatalogue := server.Catalogue.Get(in.Board)
		fmt.Fprintf(&all, "\n%s: ready %v, catalogue %v, %d live members", in.ID, in.Ready(), hasCatalogue, len(view.Live()))
		if in.Slots != nil {
			fmt.Fprintf(&all, ", slots ready %v, slots %+v", in.Slots.Ready(), in.Slots.Counts())
		}
	}
	return all.String()
}
