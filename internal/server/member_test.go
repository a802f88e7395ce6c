package server

import (
	"bytes"
	"cmp"
	"context"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/peer"
	"bambooferry.example/bambooferry/internal/platform"
	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/instance"
)

// failingStore is a key-value service that fails all calls and counts them.
type failingStore struct{ calls atomic.Int64 }

func (d *failingStore) fail() error { d.calls.Add(1); return errors.New("service is down") }

func (d *failingStore) Get(context.Context, string) (platform.Value, error) {
	return platform.Value{}, d.fail()
}

func (d *failingStore) CompareAndSwap(context.Context, string, int64, []byte) (int64, error) {
	return 0, d.fail()
}

func (d *failingStore) Watch(context.Context, string, int64, time.Duration) (platform.Value, error) {
	return platform.Value{}, d.fail()
}

func newMember(t testing.TB, id string, peers Peers, at netip.AddrPort) *Server {
	s := &Server{
		ID: id, Incarnation: time.Now().UnixNano(), DataCentre: "region-a-0", Board: blackboard.New(), Log: zerolog.Nop(),
		Metrics: metrics.NewSet(), Peers: peers, PeerAddress: at, Store: &failingStore{},
	}
	require.NoError(t, s.InitMembership())
	return s
}

// TestCatalogueWatchBackoff guards against an instance that sends too many requests to an unavailable service.
func TestCatalogueWatchBackoff(t *testing.T) {
	s := newMember(t, "a", nil, netip.AddrPort{})
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	go func() { _ = s.RunMembership(ctx) }()
	_ = s.FollowCatalogue(ctx)
	calls := s.Store.(*failingStore).calls.Load()
	t.Logf("%d calls in 4 s", calls)
	// With waits of 0.2, 0.4, 0.8 and 1.6 s, which jitter at most halves, at most 7 calls fit into the time.
	require.LessOrEqual(t, calls, int64(7))
	require.GreaterOrEqual(t, calls, int64(3))
	require.False(t, s.Ready())
}

// TestSingleInstanceIsMember guards against a single instance that is missing from its own membership view.
func TestSingleInstanceIsMember(t *testing.T) {
	s := newMember(t, "a", nil, netip.AddrPort{})
	v, ok := Members.Get(s.Board)
	require.True(t, ok)
	require.Len(t, v.Live(), 1)
	require.True(t, s.holdsJob(CatalogueKey))
}

// fleetDocument returns a catalogue of the design scale.
func fleetDocument(targets int) *catalogue.Document {
	d := &catalogue.Document{Format: catalogue.FormatVersion, Revision: 1}
	for e := range 12 {
		entry := catalogue.Entry{
			Name: fmt.Sprintf("model-%d", e), Owner: "team", Kind: catalogue.Model, Class: catalogue.Interactive, Version: "v1", Versions: []catalogue.Version{{Name: "v1"}},
			Limits: catalogue.Limits{InProgress: 10000, Queue: 100, Deadline: catalogue.Duration(time.Minute), BodyBytes: 1 << 20, Tokens: 1000},
		}
		for i := range targets / 12 {
			entry.Targets = append(entry.Targets, catalogue.Target{
				Name: fmt.Sprintf("engine-%d-%d", e, i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(e), byte(i >> 8), byte(i)}), 7100),
				DataCentre: fmt.Sprintf("dc-%d", i%9), Version: "v1", Slots: 8,
			})
		}
		d.Entries = append(d.Entries, entry)
	}
	for i := range 240 {
		d.Workspaces = append(d.Workspaces, catalogue.Workspace{Name: fmt.Sprintf("workspace-%d", i), KeySHA256: catalogue.HashKey(fmt.Sprint(i)), Weight: 1, InProgress: 100})
	}
	return d
}

// TestCatalogueTransfer guards against a document that is altered in transfer, or grows without a bound when it is decompressed.
func TestCatalogueTransfer(t *testing.T) {
	d := fleetDocument(5300)
	first, err := newCanonicalForm(d)
	require.NoError(t, err)
	d.Revision, d.Entries[5].Targets[200].Leaving = 2, true
	second, err := newCanonicalForm(d)
	require.NoError(t, err)
	want, err := json.Marshal(d)
	require.NoError(t, err)
	kept := []canonicalForm{second, first}
	for _, c := range []struct {
		name  string
		in    Fetch
		has   []canonicalForm
		limit int
	}{
		{"whole", Fetch{}, nil, 60_000},
		{"whole for another base", Fetch{After: 1, Hash: 7}, []canonicalForm{{revision: 1, hash: 7}}, 60_000},
		{"change", Fetch{After: 1, Hash: first.hash}, []canonicalForm{first}, 200},
	} {
		f, err := buildFetched(kept, c.in)
		require.NoError(t, err)
		require.NoError(t, f.Check())
		t.Logf("%s: %d bytes of %d", c.name, len(f.Data), len(want))
		require.LessOrEqual(t, len(f.Data), c.limit)
		got, err := restoreDocument(c.has, &f)
		require.NoError(t, err)
		require.Equal(t, string(want), string(got))
		damaged := f
		damaged.Hash++
		_, err = restoreDocument(c.has, &damaged)
		require.Error(t, err)
	}
	f, err := buildFetched(kept, Fetch{After: 2})
	require.NoError(t, err)
	require.Zero(t, f.Revision)
	f, err = buildFetched(kept, Fetch{After: 1, Hash: first.hash})
	require.NoError(t, err)
	_, err = restoreDocument([]canonicalForm{second}, &f)
	require.Error(t, err, "a change of another base")
	bomb, err := compress(make([]byte, 2<<20))
	require.NoError(t, err)
	_, err = decompress(bomb)
	require.Error(t, err)
}

// TestConflictingCatalogueRevision guards against a different document of equal revision that is not reported or replaces the one in force.
func TestConflictingCatalogueRevision(t *testing.T) {
	s := newMember(t, "a", nil, netip.AddrPort{})
	put := func(revision int64, owner string) bool {
		d := fleetDocument(24)
		d.Revision, d.Entries[0].Owner = revision, owner
		data, err := json.Marshal(d)
		require.NoError(t, err)
		return s.ApplyCatalogue(time.Now(), data)
	}
	conflicts := s.Metrics.GetOrCreateCounter("bambooferry_catalogue_conflicts_total")
	require.True(t, put(2, "first"))
	require.False(t, put(2, "first"))
	require.Zero(t, conflicts.Get())
	require.False(t, put(2, "second"))
	require.EqualValues(t, 1, conflicts.Get())
	require.False(t, put(1, "older"))
	d, _ := Catalogue.Get(s.Board)
	require.Equal(t, "first", d.Entries[0].Owner)
	s.compareRevision(time.Now(), &instance.Beat{Revision: 2, Content: 1})
	require.EqualValues(t, 1, conflicts.Get(), "one alarm for one revision")
	require.True(t, put(3, "third"))
	s.compareRevision(time.Now(), &instance.Beat{Revision: 3, Content: 1})
	require.EqualValues(t, 2, conflicts.Get())
}

// TestOutdatedCatalogueDoesNotDenyEntriesAndKeys guards against a 404 or 401 for what a later catalogue may hold, from an instance that
// knows that it lacks one, and against an instance that never states either again.
func TestOutdatedCatalogueDoesNotDenyEntriesAndKeys(t *testing.T) {
	s := newMember(t, "a", nil, netip.AddrPort{})
	data, err := json.Marshal(fleetDocument(24))
	require.NoError(t, err)
	require.True(t, s.ApplyCatalogue(time.Now(), data))
	s.Limits = DefaultLimits()
	handler := s.Handler()
	ask := func(path, key, body string) (int, string) {
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+key)
		r.Header.Set("Content-Type", "application/json")
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w.Code, w.Body.String()
	}
	const completion = `{"model":"later","prompt":"x","max_tokens":1}`
	requireRefusals := func(want func(status int) int, code string) {
		t.Helper()
		for _, c := range []struct {
			path, key, body, code string
			status                int
		}{
			{"/v1/completions", "0", completion, "unknown_model", http.StatusNotFound},
			{"/call/later", "0", "", "unknown_entry", http.StatusNotFound},
			{"/v1/completions", "later", completion, "wrong_key", http.StatusUnauthorized},
		} {
			status, body := ask(c.path, c.key, c.body)
			require.Equal(t, want(c.status), status, body)
			require.Contains(t, body, cmp.Or(code, c.code))
			require.Contains(t, body, "not_run")
		}
	}
	same := func(status int) int { return status }
	requireRefusals(same, "")
	s.compareRevision(time.Now(), &instance.Beat{Revision: 2, Content: 1})
	requireRefusals(func(int) int { return http.StatusServiceUnavailable }, "catalogue_outdated")
	d := fleetDocument(24)
	d.Revision = 2
	data, err = json.Marshal(d)
	require.NoError(t, err)
	require.True(t, s.ApplyCatalogue(time.Now(), data))
	requireRefusals(same, "")
	s.compareRevision(time.Now().Add(-announcementTTL), &instance.Beat{Revision: 9, Content: 1})
	requireRefusals(same, "")
}

// FuzzMemberMessages guards against messages that pass their checks although they are out of bounds, or crash the member table.
func FuzzMemberMessages(f *testing.F) {
	self := instance.Member{ID: "b", Address: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: "dc-1", Incarnation: 2}
	for _, v := range []any{instance.NewTable(self, instance.DefaultTiming()).NextBeat("a", 1, 2), Tables{Notes: []instance.Note{{Member: self}}}, Fetched{Data: []byte("x")}} {
		var b bytes.Buffer
		require.NoError(f, gob.NewEncoder(&b).Encode(v))
		f.Add(b.Bytes())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		table := instance.NewTable(instance.Member{ID: "a", Address: netip.MustParseAddrPort("127.0.0.1:2"), Incarnation: 1}, instance.DefaultTiming())
		now := time.Unix(1_800_000_000, 0)
		b, whole, doc := &instance.Beat{}, &Tables{}, &Fetched{}
		if gob.NewDecoder(bytes.NewReader(data)).Decode(b) == nil && b.Check() == nil {
			table.HandleBeat(now, b)
			table.HandleAnswer(now, b, time.Millisecond)
		}
		if gob.NewDecoder(bytes.NewReader(data)).Decode(whole) == nil && whole.Check() == nil {
			table.MergeNotes(now, whole.Notes)
		}
		if gob.NewDecoder(bytes.NewReader(data)).Decode(doc) == nil && doc.Check() == nil {
			if out, err := restoreDocument([]canonicalForm{{revision: doc.Base, data: []byte(`{"revision":0}`)}}, doc); err == nil {
				require.LessOrEqual(t, len(out), catalogue.MaxDocumentBytes+20)
			}
		}
		table.Tick(now)
		for _, m := range table.View().Members {
			require.NotEmpty(t, m.ID)
			require.LessOrEqual(t, len(m.ID), 64)
		}
	})
}

// countConn counts the bytes of a connection in both directions.
type countConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (c countConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(int64(n))
	return n, err
}

func (c countConn) Write(p []byte) (int, error) {
	c.out.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// packetHeader is the size of the TCP and IP headers of a packet with timestamps. An exchange takes
// three packets, the last of which only acknowledges the reply.
const packetHeader = 52

// BenchmarkHeartbeat measures one heartbeat and its reply over an open TLS connection, with both ends in this process.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{3, 9, 100, 420} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			keys := peer.Identity{}
			keys.CertFile, keys.KeyFile, keys.CAFile = writeKeys(b)
			var in, out atomic.Int64
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			var ends []*Server
			for _, id := range []string{"10.0.0.250:8080", "10.0.0.251:8080"} {
				ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
				require.NoError(b, err)
				network := &peer.Network{Listener: ln, DialTimeout: time.Second, TLS: keys.TLSConfig, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
					c, err := (&net.Dialer{}).DialContext(ctx, network, address)
					return countConn{c, &in, &out}, err
				}}
				s := newMember(b, id, network, network.Address())
				go func() { _ = network.Run(ctx) }()
				ends = append(ends, s)
			}
			var notes []instance.Note
			for i := range n - 2 {
				notes = append(notes, instance.Note{Member: instance.Member{
					ID: fmt.Sprintf("10.0.%d.%d:8080", i>>8, i&255), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
					DataCentre: fmt.Sprintf("region-a-%d", i%9), Incarnation: time.Now().UnixNano(), State: instance.Alive,
				}})
			}
			for _, s := range ends {
				s.membership.table.MergeNotes(time.Now(), notes)
			}
			for range 200 {
				ends[0].sendHeartbeat(ctx, ends[1].membership.table.View().Self)
			}
			in.Store(0)
			out.Store(0)
			b.ResetTimer()
			for range b.N {
				ends[0].sendHeartbeat(ctx, ends[1].membership.table.View().Self)
			}
			b.StopTimer()
			request, answer := float64(out.Load())/float64(b.N), float64(in.Load())/float64(b.N)
			// An instance sends and answers this many exchanges a second.
			exchanges := 2 * float64(instance.RingCount) / instance.DefaultTiming().HeartbeatInterval.Seconds()
			ns := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
			b.ReportMetric(request, "request_B")
			b.ReportMetric(answer, "answer_B")
			b.ReportMetric(exchanges*2, "messages/s")
			b.ReportMetric(exchanges*(request+answer+3*packetHeader)/1000, "KB/s")
			// The time covers both ends of an exchange, and an instance is one end of it.
			b.ReportMetric(exchanges*ns/2/1e9*100, "%core")
		})
	}
}

// BenchmarkRevision measures the cost of one new revision at the design scale for an instance that fetches it and sends it to another.
func BenchmarkRevision(b *testing.B) {
	d := fleetDocument(5300)
	first, err := newCanonicalForm(d)
	require.NoError(b, err)
	s := newMember(b, "a", nil, netip.AddrPort{})
	require.True(b, s.ApplyCatalogue(time.Now(), first.document()))
	bytes := 0
	for i := range b.N {
		kept, _ := catalogueForms.Get(s.Board)
		next := *d
		next.Revision = int64(i + 2)
		next.Entries[5].Targets[200].Leaving = i%2 == 0
		b.StopTimer()
		f, err := newCanonicalForm(&next)
		b.StartTimer()
		require.NoError(b, err)
		out, err := buildFetched([]canonicalForm{f, kept[0]}, Fetch{kept[0].revision, kept[0].hash})
		require.NoError(b, err)
		bytes += len(out.Data) + 200
		s.applyFetched(&out)
		revision, _ := s.revisionInForce()
		require.Equal(b, next.Revision, revision)
	}
	const perSecond = 6800.0 / 86400
	b.ReportMetric(float64(bytes)/float64(b.N)*2*perSecond/1000, "KB/s")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)*perSecond/1e9*100, "%core")
}

// BenchmarkTick measures the decisions of one heartbeat interval.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{3, 9, 100, 420} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newMember(b, "a", nil, netip.AddrPort{})
			var notes []instance.Note
			for i := range n - 1 {
				notes = append(notes, instance.Note{Member: instance.Member{
					ID: fmt.Sprint("m", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000), Incarnation: 1, State: instance.Alive,
				}})
			}
			now := time.Now()
			s.membership.table.MergeNotes(now, notes)
			b.ResetTimer()
			for range b.N {
				s.membership.table.Tick(now)
				s.publishChanges(now)
			}
		})
	}
}
