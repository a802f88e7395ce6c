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

// simulation is a key-value service with one shard, and instances that share it.
type simulation struct {
	now          time.Time
	version      int64
	data         []byte
	lateWrites   []lateWrite
	writers      []*ShardWriter
	incarnations []int64
	calls        map[string]*ClaimedCall
	claimants    map[string]int
	ops          map[uint64]Op
	results      []OpResult
	sendCounts   map[string]int
	nextNonce    int
	nextOp       uint64
}

type lateWrite struct {
	version int64
	data    []byte
}

const (
	simulatedInstances = 3
	simulatedRetention = time.Hour
)

func newSimulation() *simulation {
	s := &simulation{now: time.UnixMilli(1_000_000), calls: map[string]*ClaimedCall{}, claimants: map[string]int{}, ops: map[uint64]Op{}, sendCounts: map[string]int{}}
	for range simulatedInstances {
		s.writers = append(s.writers, &ShardWriter{Retention: simulatedRetention})
		s.incarnations = append(s.incarnations, 1)
	}
	return s
}

func (s *simulation) compareAndSwap(version int64, data []byte) bool {
	if s.version != version {
		return false
	}
	s.version, s.data = version+1, data
	return true
}

func (s *simulation) enqueue(i int, o Op) {
	s.nextOp++
	s.ops[s.nextOp] = o
	s.writers[i].Enqueue(s.nextOp, o, s.now, s.now.Add(10*time.Second))
}

func (s *simulation) enqueueClaim(claimant, via int, key, void string) {
	s.nextNonce++
	c := Claim{
		Key: hashParts(key), Digest: hashParts("body"), At: s.now.UnixMilli(), State: Running,
		Claimant: Claimant{Instance: fmt.Sprint(claimant), Incarnation: s.incarnations[claimant], Nonce: hashParts("nonce", fmt.Sprint(s.nextNonce))},
	}
	s.calls[c.Nonce] = &ClaimedCall{Claim: c, Deadline: s.now.Add(5 * time.Second)}
	s.claimants[c.Nonce] = claimant
	s.enqueue(via, Op{Kind: OpClaim, Claim: c, Void: void})
}

// stepWriter carries out one step of a writer with the given fault.
func (s *simulation) stepWriter(i, fault int) {
	writer := s.writers[i]
	step, results := writer.NextStep(s.now)
	s.results = append(s.results, results...)
	switch step.Kind {
	case Read:
		if fault == 0 {
			_ = writer.SetCurrentValue(s.version, s.data)
		}
	case Write:
		switch fault {
		case 1: // the write is lost before it takes effect
		case 2: // the write takes effect but its response is lost
			s.compareAndSwap(step.Version, step.Data)
		case 3: // the write takes effect later, if at all
			s.lateWrites = append(s.lateWrites, lateWrite{step.Version, step.Data})
		default:
			if s.compareAndSwap(step.Version, step.Data) {
				s.results = append(s.results, writer.WriteConfirmed(step.Version+1)...)
			} else {
				_ = writer.SetCurrentValue(s.version, s.data)
			}
		}
	}
}

// handleResult passes one result to its claimant, which sends the call, claims again or gives up.
func (s *simulation) handleResult(result OpResult, aborted bool, via int) {
	o := s.ops[result.ID]
	call, ok := s.calls[o.Claim.Nonce]
	if !ok || o.Kind != OpClaim {
		return
	}
	claimant := s.claimants[o.Claim.Nonce]
	switch result.Verdict {
	case Won:
		if call.TrySend(s.now) {
			if aborted {
				call.AbortSend()
			} else {
				s.sendCounts[o.Claim.Key]++
			}
		}
		if call.Phase == Abandoned {
			s.enqueue(via, Op{Kind: OpRelease, Claim: call.Claim})
		}
	case Taken:
		call.Abandon()
		if result.Claim.State != Running {
			return
		}
		if other, known := s.calls[result.Claim.Nonce]; known && other.Phase == Abandoned {
			s.nextNonce++
			c := o.Claim
			c.Nonce = hashParts("nonce", fmt.Sprint(s.nextNonce))
			s.calls[c.Nonce], s.claimants[c.Nonce] = &ClaimedCall{Claim: c, Deadline: s.now.Add(5 * time.Second)}, claimant
			s.enqueue(via, Op{Kind: OpClaim, Claim: c, Void: result.Claim.Nonce})
		}
	default:
		call.Abandon()
	}
}

// restartInstance drops all state of one instance and starts its next incarnation.
func (s *simulation) restartInstance(i int) {
	s.writers[i] = &ShardWriter{Retention: simulatedRetention}
	s.incarnations[i]++
	for n, o := range s.claimants {
		if o == i {
			delete(s.claimants, n)
			delete(s.calls, n)
		}
	}
}

// simulationSteps is long enough for a claim to be abandoned, taken over by two instances and
// expired in between.
const simulationSteps = 150

// step performs one random step of the simulation.
func (s *simulation) step(rt *rapid.T) {
	instance := rapid.IntRange(0, simulatedInstances-1)
	// Steps that are needed for progress are listed several times, so that they are drawn more
	// often.
	switch rapid.SampledFrom([]string{
		"claim", "write", "write_ok", "write_ok", "write_ok", "handle_result", "handle_result", "handle_result", "late_write", "finish", "abandon", "crash", "advance_time",
	}).Draw(rt, "step") {
	case "claim":
		s.enqueueClaim(instance.Draw(rt, "at"), instance.Draw(rt, "via"), rapid.SampledFrom([]string{"a", "a", "b"}).Draw(rt, "key"), "")
	case "write":
		s.stepWriter(instance.Draw(rt, "writer"), rapid.IntRange(1, 3).Draw(rt, "fault"))
	case "write_ok":
		s.stepWriter(instance.Draw(rt, "writer"), 0)
	case "late_write":
		if len(s.lateWrites) > 0 {
			s.compareAndSwap(s.lateWrites[0].version, s.lateWrites[0].data)
			s.lateWrites = s.lateWrites[1:]
		}
	case "handle_result":
		if len(s.results) > 0 {
			n := rapid.IntRange(0, len(s.results)-1).Draw(rt, "result")
			result := s.results[n]
			s.results = slices.Delete(s.results, n, n+1)
			s.handleResult(result, rapid.IntRange(0, 3).Draw(rt, "aborted") == 0, instance.Draw(rt, "via"))
		}
	case "finish":
		s.finishOneCall(instance.Draw(rt, "via"))
	case "abandon":
		for _, n := range s.nonces() {
			if call := s.calls[n]; call.Phase == Claiming && call.Abandon() {
				return
			}
		}
	case "crash":
		if rapid.IntRange(0, 3).Draw(rt, "really") == 0 {
			s.restartInstance(instance.Draw(rt, "instance"))
		}
	case "advance_time":
		s.now = s.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
	}
}

// nonces returns the nonces of the calls in a fixed order, so that a seed reproduces a run.
func (s *simulation) nonces() []string { return slices.Sorted(maps.Keys(s.calls)) }

func (s *simulation) finishOneCall(via int) {
	for _, n := range s.nonces() {
		call := s.calls[n]
		if call.Phase == Sending {
			call.Finish(&Result{Status: 200})
			c := call.Claim
			c.Result = call.Result
			s.enqueue(via, Op{Kind: OpFinish, Claim: c})
			return
		}
	}
}

// TestClaimRunsOnce guards against sending the call of one key twice, under any order of crashes,
// lost, late and conflicting writes, pauses and abandoned claims.
func TestClaimRunsOnce(t *testing.T) {
	sent := 0
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation()
		for range simulationSteps {
			sim.step(rt)
			for k, n := range sim.sendCounts {
				if n > 1 {
					rt.Fatalf("key %s was sent %d times", k, n)
				}
			}
		}
		sent += len(sim.sendCounts)
	})
	require.Positive(t, sent, "no run sent any call")
	t.Logf("%d keys sent", sent)
}

// TestShardStaysBelowBound guards against a value that the service would reject, which would block
// all claims of a shard.
func TestShardStaysBelowBound(t *testing.T) {
	for _, size := range []int{0, 200, MaxStoredResponseBytes - 100} {
		s, n := NewShard(), 0
		op := func(i int) Op {
			return Op{Kind: OpClaim, Claim: Claim{Key: hashParts("key", fmt.Sprint(i)), Digest: hashParts("d"), At: 1, Claimant: Claimant{Instance: "a", Nonce: hashParts(fmt.Sprint(i))}}}
		}
		for ; ; n++ {
			if v, _ := s.Apply(op(n)); v.Verdict == Full {
				break
			}
		}
		for i := range n {
			o := op(i)
			o.Kind = OpFinish
			o.Claim.Result = &Result{Status: 200, Body: make([]byte, size), Lost: "deadline_passed_meanwhile"[:maxLostBytes]}
			v, _ := s.Apply(o)
			require.Equal(t, Won, v.Verdict)
		}
		require.LessOrEqual(t, s.Bytes(), MaxShardBytes)
		require.Len(t, s.Encode(), s.Bytes())
		again, err := DecodeShard(s.Encode())
		require.NoError(t, err)
		require.Equal(t, s.Encode(), again.Encode())
		require.Greater(t, n, 2000)
		require.True(t, s.Expire(time.UnixMilli(3).Add(time.Hour), time.Hour), "old claims must expire")
		require.Equal(t, NewShard().Encode(), s.Encode())
	}
}

// TestCallIsNeverSentAfterDeadline guards against a paused instance that resumes and sends a call
// that its caller gave up.
func TestCallIsNeverSentAfterDeadline(t *testing.T) {
	start := time.Unix(1000, 0)
	call := ClaimedCall{Deadline: start.Add(time.Second)}
	require.False(t, call.TrySend(start.Add(time.Second)))
	require.Equal(t, Abandoned, call.Phase)
	require.False(t, call.TrySend(start), "an abandoned call must stay abandoned")
	call = ClaimedCall{Deadline: start.Add(time.Second)}
	require.True(t, call.TrySend(start))
	require.False(t, call.TrySend(start), "a call may be sent only once")
	require.False(t, call.Abandon(), "a sent call must not count as abandoned")
}
