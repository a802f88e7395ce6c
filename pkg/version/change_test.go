package version_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/version"
)

const fullLength = 90 * time.Second

func goodScenarios() []scenario {
	return []scenario{
		{name: "calm", rate: 100, noise: 0.3, length: fullLength, warm: 20 * time.Second},
		{name: "noisy times", rate: 100, noise: 1, length: fullLength, warm: 20 * time.Second},
		{name: "general slowdown", rate: 100, noise: 0.5, commonSlow: 4, length: fullLength, warm: 20 * time.Second},
		{name: "common outage", rate: 100, noise: 0.5, commonFail: 0.4, length: fullLength, warm: 20 * time.Second},
		{name: "common outage at the deadline", rate: 100, noise: 0.5, commonFail: 0.4, commonFrom: 45 * time.Second, length: fullLength, warm: 20 * time.Second},
		{name: "little traffic", rate: 8, noise: 0.5, length: fullLength, warm: 20 * time.Second},
	}
}

func badScenarios() []scenario {
	var list []scenario
	for _, defect := range []struct {
		name       string
		fail, slow float64
	}{{"failing half", 0.5, 0}, {"failing 1 in 10", 0.1, 0}, {"slow 3 times", 0, 3}} {
		for _, condition := range []struct {
			name  string
			from  time.Duration
			share float64
			route string
		}{
			{"at once", 0, 0, ""},
			{"later", 20 * time.Second, 0, ""},
			{"after completion", 70 * time.Second, 0, ""},
			{"under load only", 0, 0.3, ""},
			{"on one route only", 0, 0, routes[2]},
		} {
			list = append(list, scenario{
				name: defect.name + ", " + condition.name, rate: 100, noise: 0.5, length: 3 * time.Minute, warm: 2 * time.Minute,
				fail: defect.fail, slow: defect.slow, badFrom: condition.from, badShare: condition.share, badRoute: condition.route,
			})
		}
	}
	return list
}

// TestGoodChangeCompletes guards against good versions that miss their deadline or are rolled back.
func TestGoodChangeCompletes(t *testing.T) {
	for _, sc := range goodScenarios() {
		t.Run(sc.name, func(t *testing.T) {
			out := runScenario(sc)
			require.Equal(t, version.Closed, out.record.State, out.log)
			require.Contains(t, out.log, "done ", out.log)
		})
	}
}

// TestBadChangeRollsBack guards against bad versions, with every defect and condition of badScenarios, that
// are not rolled back.
func TestBadChangeRollsBack(t *testing.T) {
	for _, sc := range badScenarios() {
		t.Run(sc.name, func(t *testing.T) {
			for seed := range uint64(20) {
				sc.seed = seed
				out := runScenario(sc)
				require.Equal(t, version.RolledBack, out.record.State, "seed %d\n%s", seed, out.log)
				require.Equal(t, out.log, runScenario(sc).log, "the same seed must give the same log")
			}
		})
	}
}

// TestOperatorSession guards the steps that an operator sees in the course of a change.
func TestOperatorSession(t *testing.T) {
	var b strings.Builder
	for _, sc := range []scenario{
		goodScenarios()[1], badScenarios()[0], badScenarios()[2], badScenarios()[13], goodScenarios()[5],
		{name: "hardly any traffic", rate: 1, noise: 0.5, length: fullLength, warm: 20 * time.Second},
	} {
		fmt.Fprintf(&b, "# %s\n%s\n", sc.name, runScenario(sc).log)
	}
	goldie.New(t).Assert(t, "session", []byte(b.String()))
}

// TestFigures prints the share and time of exposure for each bad scenario, and the exposure under a fixed schedule.
func TestFigures(t *testing.T) {
	if os.Getenv("BAMBOOFERRY_FIGURES") == "" {
		t.Skip("prints figures only when BAMBOOFERRY_FIGURES is set")
	}
	const seeds = 100
	for _, sc := range badScenarios() {
		var meanTime, meanShare, meanExposed, meanBaseline float64
		worstTime := time.Duration(0)
		rolledBack := 0
		for seed := range uint64(seeds) {
			sc.seed, sc.fixedSchedule = seed, false
			out := runScenario(sc)
			if out.record.State == version.RolledBack {
				rolledBack++
			}
			meanTime += out.badTime.Seconds() / seeds
			worstTime = max(worstTime, out.badTime)
			meanShare += out.maxShare / seeds
			meanExposed += float64(out.exposed) / seeds
			sc.fixedSchedule, sc.length = true, 2*deadline
			if seed < 5 {
				meanBaseline += float64(runScenario(sc).exposed) / 5
			}
			sc.length = 3 * time.Minute
		}
		t.Logf("%-36s rolled back %3d/%d mean %5.1f s worst %5.1f s largest share %.3f requests exposed %6.0f fixed schedule %6.0f",
			sc.name, rolledBack, seeds, meanTime, worstTime.Seconds(), meanShare, meanExposed, meanBaseline)
	}
}
