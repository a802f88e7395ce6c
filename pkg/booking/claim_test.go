package booking

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// world is a key-value service with one shard, and instances that share it.
type world struct {
	now       time.Time
	version   int64
	data      []byte
	late      []lateWrite
	writers   []*ShardWriter
	lives     []int64
	runs      map[string]*ClaimedCall
	owner     map[string]int
	ops       map[uint64]Op
	verdicts  []OpResult
	sends     map[string]int
	nextNonce int
	nextOp    uint64
}

type lateWrite struct {
	version int64
	data    []byte
}

const (
	worldInstances = 3
	worldRetention = time.Hour
)

func newWorld() *world {
	w := &world{now: time.UnixMilli(1_000_000), runs: map[string]*ClaimedCall{}, owner: map[string]int{}, ops: map[uint64]Op{}, sends: map[string]int{}}
	for range worldInstances {
		w.writers = append(w.writers, &ShardWriter{Retention: worldRetention})
		w.lives = append(w.lives, 1)
	}
	return w
}

func (w *world) swap(version int64, data []byte) bool {
	if w.version != version {
		return false
	}
	w.version, w.data = version+1, data
	return true
}

func (w *world) add(i int, o Op) {
	w.nextOp++
	w.ops[w.nextOp] = o
	w.writers[i].Enqueue(w.nextOp, o, w.now, w.now.Add(10*time.Second))
}

func (w *world) claim(i, via int, key, void string) {
	w.nextNonce++
	c := Claim{
		Key: hashOf(key), Digest: hashOf("body"), At: w.now.UnixMilli(), State: Running,
		Claimant: Claimant{Instance: fmt.Sprint(i), Incarnation: w.lives[i], Nonce: hashOf("nonce", fmt.Sprint(w.nextNonce))},
	}
	w.runs[c.Nonce] = &ClaimedCall{Claim: c, Deadline: w.now.Add(5 * time.Second)}
	w.owner[c.Nonce] = i
	w.add(via, Op{Kind: OpClaim, Claim: c, Void: void})
}

// write carries out one step of a writer with a chosen fault.
func (w *world) write(i, fault int) {
	wr := w.writers[i]
	step, answers := wr.NextStep(w.now)
	w.verdicts = append(w.verdicts, answers...)
	switch step.Kind {
	case Read:
		if fault == 0 {
			_ = wr.SetCurrentValue(w.version, w.data)
		}
	case Write:
		switch fault {
		case 1: // lost before it took effect
		case 2: // took effect, answer lost
			w.swap(step.Version, step.Data)
		case 3: // takes effect later, if at all
			w.late = append(w.late, lateWrite{step.Version, step.Data})
		default:
			if w.swap(step.Version, step.Data) {
				w.verdicts = append(w.verdicts, wr.WriteConfirmed(step.Version+1)...)
			} else {
				_ = wr.SetCurrentValue(w.version, w.data)
			}
		}
	}
}

// judge hands one verdict to its claimant, which sends, asks again or gives up.
func (w *world) judge(a OpResult, unsent bool, via int) {
	o := w.ops[a.ID]
	r, ok := w.runs[o.Claim.Nonce]
	if !ok || o.Kind != OpClaim {
		return
	}
	i := w.owner[o.Claim.Nonce]
	switch a.Verdict {
	case Won:
		if r.TrySend(w.now) {
			if unsent {
				r.AbortSend()
			} else {
				w.sends[o.Claim.Key]++
			}
		}
		if r.Phase == Abandoned {
			w.add(via, Op{Kind: OpRelease, Claim: r.Claim})
		}
	case Taken:
		r.Abandon()
		if a.Claim.State != Running {
			return
		}
		if other, known := w.runs[a.Claim.Nonce]; known && other.Phase == Abandoned {
			w.nextNonce++
			c := o.Claim
			c.Nonce = hashOf("nonce", fmt.Sprint(w.nextNonce))
			w.runs[c.Nonce], w.owner[c.Nonce] = &ClaimedCall{Claim: c, Deadline: w.now.Add(5 * time.Second)}, i
			w.add(via, Op{Kind: OpClaim, Claim: c, Void: a.Claim.Nonce})
		}
	default:
		r.Abandon()
	}
}

// crash ends one instance with all it knew and starts its next life.
func (w *world) crash(i int) {
	w.writers[i] = &ShardWriter{Retention: worldRetention}
	w.lives[i]++
	for n, o := range w.owner {
		if o == i {
			delete(w.owner, n)
			delete(w.runs, n)
		}
	}
}

// worldSteps is long enough for a claim to be given up, taken over by two instances and aged meanwhile.
const worldSteps = 150

// act takes one step of the world, chosen by rapid.
func (w *world) act(rt *rapid.T) {
	instance := rapid.IntRange(0, worldInstances-1)
	// Written out several times are the steps without which nothing goes on.
	switch rapid.SampledFrom([]string{
		"claim", "write", "write_on", "write_on", "write_on", "judge", "judge", "judge", "late", "finish", "give_up", "crash", "time",
	}).Draw(rt, "step") {
	case "claim":
		w.claim(instance.Draw(rt, "at"), instance.Draw(rt, "via"), rapid.SampledFrom([]string{"a", "a", "b"}).Draw(rt, "key"), "")
	case "write":
		w.write(instance.Draw(rt, "writer"), rapid.IntRange(1, 3).Draw(rt, "fault"))
	case "write_on":
		w.write(instance.Draw(rt, "writer"), 0)
	case "late":
		if len(w.late) > 0 {
			w.swap(w.late[0].version, w.late[0].data)
			w.late = w.late[1:]
		}
	case "judge":
		if len(w.verdicts) > 0 {
			n := rapid.IntRange(0, len(w.verdicts)-1).Draw(rt, "verdict")
			a := w.verdicts[n]
			w.verdicts = slices.Delete(w.verdicts, n, n+1)
			w.judge(a, rapid.IntRange(0, 3).Draw(rt, "unsent") == 0, instance.Draw(rt, "via"))
		}
	case "finish":
		w.finish(instance.Draw(rt, "via"))
	case "give_up":
		for _, n := range w.nonces() {
			if r := w.runs[n]; r.Phase == Claiming && r.Abandon() {
				return
			}
		}
	case "crash":
		if rapid.IntRange(0, 3).Draw(rt, "really") == 0 {
			w.crash(instance.Draw(rt, "instance"))
		}
	case "time":
		w.now = w.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
	}
}

// nonces returns the runs in a fixed order, so that a seed gives the same run again.
func (w *world) nonces() []string { return slices.Sorted(maps.Keys(w.runs)) }

func (w *world) finish(via int) {
	for _, n := range w.nonces() {
		r := w.runs[n]
		if r.Phase == Sending {
			r.Finish(&Result{Status: 200})
			c := r.Claim
			c.Result = r.Result
			w.add(via, Op{Kind: OpFinish, Claim: c})
			return
		}
	}
}

// TestClaimRunsOnce guards against a second sending of one key by any order of crashes,
// lost, late and conflicting writes, pauses and abandoned claims.
func TestClaimRunsOnce(t *testing.T) {
	sent := 0
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld()
		for range worldSteps {
			w.act(rt)
			for k, n := range w.sends {
				if n > 1 {
					rt.Fatalf("key %s was sent %d times", k, n)
				}
			}
		}
		sent += len(w.sends)
	})
	require.Positive(t, sent, "no run sent anything")
	t.Logf("%d keys sent", sent)
}

// TestShardStaysBelowBound guards against a value that the service would not take, which would stop all claims of a shard.
func TestShardStaysBelowBound(t *testing.T) {
	for _, size := range []int{0, 200, MaxStoredResponseBytes - 100} {
		s, n := NewShard(), 0
		op := func(i int) Op {
			return Op{Kind: OpClaim, Claim: Claim{Key: hashOf("key", fmt.Sprint(i)), Digest: hashOf("d"), At: 1, Claimant: Claimant{Instance: "a", Nonce: hashOf(fmt.Sprint(i))}}}
		}
		for ; ; n++ {
			if v, _ := s.Apply(op(n)); v.Verdict == Full {
				break
			}
		}
		for i := range n {
			o := op(i)
			o.Kind = OpFinish
			o.Claim.Result = &Result{Status: 200, Body: make([]byte, size), Lost: "deadline_passed_meanwhile"[:maxLost]}
			v, _ := s.Apply(o)
			require.Equal(t, Won, v.Verdict)
		}
		require.LessOrEqual(t, s.Bytes(), MaxShardBytes)
		require.Len(t, s.Encode(), s.Bytes())
		again, err := DecodeShard(s.Encode())
		require.NoError(t, err)
		require.Equal(t, s.Encode(), again.Encode())
		require.Greater(t, n, 2000)
		require.True(t, s.Expire(time.UnixMilli(3).Add(time.Hour), time.Hour), "old claims must age out")
		require.Equal(t, NewShard().Encode(), s.Encode())
	}
}

// TestSendNeverAfterDeadline guards against a paused instance that wakes and sends a call its caller gave up.
func TestSendNeverAfterDeadline(t *testing.T) {
	start := time.Unix(1000, 0)
	r := ClaimedCall{Deadline: start.Add(time.Second)}
	require.False(t, r.TrySend(start.Add(time.Second)))
	require.Equal(t, Abandoned, r.Phase)
	require.False(t, r.TrySend(start), "an abandoned call must stay so")
	r = ClaimedCall{Deadline: start.Add(time.Second)}
	require.True(t, r.TrySend(start))
	require.False(t, r.TrySend(start), "leave to send is given once")
	require.False(t, r.Abandon(), "a sent call must not count as given up")
}
