package deployment

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/standin/engine"
	"bambooferry.example/bambooferry/pkg/catalogue"
)

// TestCrashingGeneration guards against a prompt that crashes one engine after another, because it is
// resumed or sent again to other instances. It may crash them at any point of the answer.
func TestCrashingGeneration(t *testing.T) {
	for name, c := range map[string]struct {
		fault engine.Faults
		// resend sends the request to the next instance after the first engine has crashed.
		resend bool
	}{
		"at take-up":             {fault: engine.Faults{CrashOnPrompt: "poison"}},
		"at the first token":     {fault: engine.Faults{CrashOnPrompt: "poison", CrashAtPosition: 1}},
		"at a position":          {fault: engine.Faults{CrashOnPrompt: "poison", CrashAtPosition: 60}},
		"after a time":           {fault: engine.Faults{CrashOnPrompt: "poison", CrashAfter: catalogue.Duration(1500 * time.Millisecond)}},
		"at a position, resent":  {fault: engine.Faults{CrashOnPrompt: "poison", CrashAtPosition: 60}, resend: true},
		"after a time, resent":   {fault: engine.Faults{CrashOnPrompt: "poison", CrashAfter: catalogue.Duration(1500 * time.Millisecond)}, resend: true},
		"at take-up, all resent": {fault: engine.Faults{CrashOnPrompt: "poison"}, resend: true},
	} {
		t.Run(name, func(t *testing.T) {
			d := startCalls(t, func(cfg *Config) { cfg.Engines, cfg.Services = 6, 1 })
			for _, e := range d.Engines {
				e.SetFaults(c.fault)
			}
			crashing := caller.Completion{APIKey: APIKey, Model: ModelName, Prompt: "poison", Tokens: 4000, Instances: d.AddressesFrom(0), MaxAttempts: 1}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.resend {
				// The caller disconnects at the first crash, so that the instance does not resume.
				go func() {
					for d.crashedEngines() == 0 && ctx.Err() == nil {
						time.Sleep(time.Millisecond)
					}
					cancel()
				}()
			}
			_, err := crashing.Stream(ctx)
			require.Error(t, err)
			if c.resend {
				// The first instance may have started a resume before it noticed, which is another copy of the request.
				time.Sleep(500 * time.Millisecond)
				crashing.Instances = d.AddressesFrom(1)
				_, err = crashing.Stream(t.Context())
				require.Error(t, err)
			}
			startedAt := time.Now()
			for i := range d.Instances {
				crashing.Instances = d.AddressesFrom(i)
				result, _ := crashing.Stream(t.Context())
				require.NotNil(t, result.Error, "instance %d", i)
				require.Equal(t, "crashes_targets", result.Error.Code)
				require.Equal(t, "not_run", string(result.Error.Outcome))
			}
			require.Less(t, time.Since(startedAt), time.Second)
			good := crashing
			good.Prompt, good.Tokens = "Summarise the rules of the Sunday market.", 20
			_, err = good.Stream(t.Context())
			require.NoError(t, err, "some engines must survive")
			require.Equal(t, 2, d.crashedEngines())
		})
	}
}

// TestCrashingGenerationStopped guards against a second copy of a request that is already running at
// an engine when the request is marked as crashing, and so crashes that engine as a third.
func TestCrashingGenerationStopped(t *testing.T) {
	d := startCalls(t, func(cfg *Config) { cfg.Engines, cfg.Services = 6, 1 })
	for _, e := range d.Engines {
		e.SetFaults(engine.Faults{CrashOnPrompt: "poison", CrashAtPosition: 150})
	}
	var callers sync.WaitGroup
	for i := range d.Instances {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 600 * time.Millisecond)
			crashing := caller.Completion{APIKey: APIKey, Model: ModelName, Prompt: "poison", Tokens: 4000, Instances: d.AddressesFrom(i), MaxAttempts: 1}
			result, _ := crashing.Stream(t.Context())
			if result.Error == nil || result.Error.Code != "crashes_targets" {
				t.Errorf("instance %d: %v", i, result.Error)
			}
		})
	}
	callers.Wait()
	require.Equal(t, 2, d.crashedEngines())
}

// crashedEngines returns the number of engines that accept no connections.
func (d *Deployment) crashedEngines() int {
	n := 0
	for _, e := range d.Engines {
		conn, err := net.DialTimeout("tcp", e.Address().String(), time.Second)
		if err != nil {
			n++
			continue
		}
		_ = conn.Close()
	}
	return n
}
