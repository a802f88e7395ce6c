package deployment_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/server"
	standin "bambooferry.example/bambooferry/internal/standin/engine"
	standinplatform "bambooferry.example/bambooferry/internal/standin/platform"
	"bambooferry.example/bambooferry/pkg/version"
)

const (
	evidenceInstances = 20
	evidenceTime      = 8 * time.Second
	// evidenceTarget is the stated bound of what an instance sends and takes for evidence, in bytes a second.
	evidenceTarget = 5000
	// obeyTarget is the stated time after which no instance sends a bad version anything.
	obeyTarget = 3 * time.Second
)

// linkRates returns the bytes a second on the links that each instance opened.
func (tr *trial) linkRates() []float64 {
	before := make([]int64, len(tr.Instances))
	for i, in := range tr.Instances {
		before[i] = in.PeerBytes()
	}
	begun := time.Now()
	time.Sleep(evidenceTime)
	rates := make([]float64, len(tr.Instances))
	for i, in := range tr.Instances {
		rates[i] = float64(in.PeerBytes()-before[i]) / time.Since(begun).Seconds()
	}
	return rates
}

// TestEvidenceOfManyInstances guards the bytes of evidence on real links where instances
// collect it for others, and the 3 s in which all obey a mark while the service is down.
func TestEvidenceOfManyInstances(t *testing.T) {
	tr := startTrialOf(t, evidenceInstances, true, nil)
	time.Sleep(3 * time.Second)
	idle := tr.linkRates()
	require.NoError(t, tr.ChangeModelVersion(time.Now().Add(10*time.Minute), 0.3, 2))
	all := make([]int, evidenceInstances)
	for i := range all {
		all[i] = i
	}
	tr.await(version.Trial, all...)
	time.Sleep(2 * time.Second)
	rates := tr.linkRates()
	view, _ := server.Members.Get(tr.Instances[0].Board)
	at := map[string]int{}
	for i, in := range tr.Instances {
		members, _ := server.Members.Get(in.Board)
		at[members.Self.ID] = i
	}
	sums := make([]float64, evidenceInstances)
	for id, i := range at {
		to, _ := server.ReportDestinations(view.Live(), id)
		more := rates[i] - idle[i]
		sums[i] += more
		for _, m := range to {
			if m.ID != id {
				sums[at[m.ID]] += more / float64(len(to))
			}
		}
	}
	most, sum := 0.0, 0.0
	for i := range sums {
		most = max(most, sums[i])
		sum += rates[i] - idle[i]
	}
	t.Logf("evidence on the links of %d instances: %.0f B/s sent by one on average, %.0f B/s sent and taken by the busiest", evidenceInstances, sum/evidenceInstances, most)
	require.Less(t, most, float64(evidenceTarget))

	tr.Platform.SetFaults(standinplatform.Faults{Down: true})
	time.Sleep(obeyTarget)
	for _, i := range all {
		require.Positive(t, tr.share(i), "the share must hold while the service is down")
	}
	tr.fault(standin.Faults{FailVersion: "v2"})
	begun := time.Now()
	require.Eventually(t, func() bool { return len(tr.events.lines("version_marked")) > 0 }, trialWait, time.Millisecond)
	marked := time.Now()
	require.Eventually(t, func() bool {
		for _, i := range all {
			if tr.share(i) > 0 {
				return false
			}
		}
		return true
	}, trialWait, 5*time.Millisecond)
	t.Logf("the first mark came %v after the version turned bad, and all instances obeyed it %v later", marked.Sub(begun), time.Since(marked))
	require.Less(t, time.Since(marked), obeyTarget)
}
