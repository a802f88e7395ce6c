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

// TestCrashingGeneration guards against a prompt that takes down engine after engine, by being
// resumed or by being sent again to other instances, however far its answer has come.
func TestCrashingGeneration(t *testing.T) {
	for name, c := range map[string]struct {
		fault engine.Faults
		// again sends the request to the next instance after the first engine's crash.
		again bool
	}{
		"at take-up":             {fault: engine.Faults{CrashOnPrompt: "poison"}},
		"at the first token":     {fault: engine.Faults{CrashOnPrompt: "poison", CrashAtPosition: 1}},
		"at a position":          {fault: engine.Faults{CrashOnPrompt: "poison", CrashAtPosition: 60}},
		"after a time":           {fault: engine.Faults{CrashOnPrompt: "poison", CrashAfter: catalogue.Duration(1500 * time.Millisecond)}},
		"at a position, resent":  {fault: engine.Faults{CrashOnPrompt: "poison", CrashAtPosition: 60}, again: true},
		"after a time, resent":   {fault: engine.Faults{CrashOnPrompt: "poison", CrashAfter: catalogue.Duration(1500 * time.Millisecond)}, again: true},
		"at take-up, all resent": {fault: engine.Faults{CrashOnPrompt: "poison"}, again: true},
	} {
		t.Run(name, func(t *testing.T) {
			d := startCalls(t, func(p *Config) { p.Engines, p.Services = 6, 1 })
			for _, e := range d.Engines {
				e.SetFaults(c.fault)
			}
			bad := caller.Completion{APIKey: APIKey, Model: ModelName, Prompt: "poison", Tokens: 4000, Instances: d.AddressesFrom(0), MaxAttempts: 1}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.again {
				// The caller leaves at the first crash, so that the instance does not resume.
				go func() {
					for d.enginesLost() == 0 && ctx.Err() == nil {
						time.Sleep(time.Millisecond)
					}
					cancel()
				}()
			}
			_, err := bad.Stream(ctx)
			require.Error(t, err)
			if c.again {
				// Until then the first instance may have begun a resume, which is a copy of its own.
				time.Sleep(500 * time.Millisecond)
				bad.Instances = d.AddressesFrom(1)
				_, err = bad.Stream(t.Context())
				require.Error(t, err)
			}
			begun := time.Now()
			for i := range d.Instances {
				bad.Instances = d.AddressesFrom(i)
				a, _ := bad.Stream(t.Context())
				require.NotNil(t, a.Error, "instance %d", i)
				require.Equal(t, "crashes_targets", a.Error.Code)
				require.Equal(t, "not_run", string(a.Error.Outcome))
			}
			require.Less(t, time.Since(begun), time.Second)
			good := bad
			good.Prompt, good.Tokens = "Summarise the rules of the Sunday market.", 20
			_, err = good.Stream(t.Context())
			require.NoError(t, err, "engines must be left")
			require.Equal(t, 2, d.enginesLost())
		})
	}
}

// TestCrashingGenerationStopped guards against a second copy of a request that is under way at an
// engine when the request is marked, and takes that engine down as a third.
func TestCrashingGenerationStopped(t *testing.T) {
	d := startCalls(t, func(p *Config) { p.Engines, p.Services = 6, 1 })
	for _, e := range d.Engines {
		e.SetFaults(engine.Faults{CrashOnPrompt: "poison", CrashAtPosition: 150})
	}
	var group sync.WaitGroup
	for i := range d.Instances {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 600 * time.Millisecond)
			bad := caller.Completion{APIKey: APIKey, Model: ModelName, Prompt: "poison", Tokens: 4000, Instances: d.AddressesFrom(i), MaxAttempts: 1}
			a, _ := bad.Stream(t.Context())
			if a.Error == nil || a.Error.Code != "crashes_targets" {
				t.Errorf("instance %d: %v", i, a.Error)
			}
		})
	}
	group.Wait()
	require.Equal(t, 2, d.enginesLost())
}

// enginesLost counts the engines that take no connection.
func (d *Deployment) enginesLost() int {
	n := 0
	for _, e := range d.Engines {
		c, err := net.DialTimeout("tcp", e.Address().String(), time.Second)
		if err != nil {
			n++
			continue
		}
		_ = c.Close()
	}
	return n
}
