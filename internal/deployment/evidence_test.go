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
	rateWindow        = 8 * time.Second
	// maxEvidenceRate is the stated bound on the evidence that an instance sends and receives, in bytes per second.
	maxEvidenceRate = 5000
	// maxObeyTime is the stated time after which no instance sends requests to a bad version.
	maxObeyTime = 3 * time.Second
)

// peerByteRates returns the bytes per second on the connections that each instance opened to others.
func (ct *changeTest) peerByteRates() []float64 {
	before := make([]int64, len(ct.Instances))
	for i, in := range ct.Instances {
		before[i] = in.PeerBytes()
	}
	startedAt := time.Now()
	time.Sleep(rateWindow)
	rates := make([]float64, len(ct.Instances))
	for i, in := range ct.Instances {
		rates[i] = float64(in.PeerBytes()-before[i]) / time.Since(startedAt).Seconds()
	}
	return rates
}

// TestEvidenceOfManyInstances guards against too much evidence traffic on real connections when instances
// collect it for others, and against a mark that takes more than 3 s to be obeyed while the service is down.
func TestEvidenceOfManyInstances(t *testing.T) {
	ct := startChangeTestWithInstances(t, evidenceInstances, true, nil)
	time.Sleep(3 * time.Second)
	idleRates := ct.peerByteRates()
	require.NoError(t, ct.ChangeModelVersion(time.Now().Add(10*time.Minute), 0.3, 2))
	all := make([]int, evidenceInstances)
	for i := range all {
		all[i] = i
	}
	ct.requireState(version.Trial, all...)
	time.Sleep(2 * time.Second)
	loadedRates := ct.peerByteRates()
	view, _ := server.Members.Get(ct.Instances[0].Board)
	indexByID := map[string]int{}
	for i, in := range ct.Instances {
		members, _ := server.Members.Get(in.Board)
		indexByID[members.Self.ID] = i
	}
	sentAndReceived := make([]float64, evidenceInstances)
	for id, i := range indexByID {
		destinations, _ := server.ReportDestinations(view.Live(), id)
		evidenceRate := loadedRates[i] - idleRates[i]
		sentAndReceived[i] += evidenceRate
		for _, m := range destinations {
			if m.ID != id {
				sentAndReceived[indexByID[m.ID]] += evidenceRate / float64(len(destinations))
			}
		}
	}
	busiest, totalSent := 0.0, 0.0
	for i := range sentAndReceived {
		busiest = max(busiest, sentAndReceived[i])
		totalSent += loadedRates[i] - idleRates[i]
	}
	t.Logf("evidence between %d instances: %.0f B/s sent per instance on average, %.0f B/s sent and received by the busiest", evidenceInstances, totalSent/evidenceInstances, busiest)
	require.Less(t, busiest, float64(maxEvidenceRate))

	ct.Platform.SetFaults(standinplatform.Faults{Down: true})
	time.Sleep(maxObeyTime)
	for _, i := range all {
		require.Positive(t, ct.newVersionShare(i), "the share must hold while the service is down")
	}
	ct.setEngineFaults(standin.Faults{FailVersion: "v2"})
	startedAt := time.Now()
	require.Eventually(t, func() bool { return len(ct.events.lines("version_marked")) > 0 }, changeTimeout, time.Millisecond)
	markedAt := time.Now()
	require.Eventually(t, func() bool {
		for _, i := range all {
			if ct.newVersionShare(i) > 0 {
				return false
			}
		}
		return true
	}, changeTimeout, 5*time.Millisecond)
	t.Logf("the first mark was set %v after the version turned bad, and all instances obeyed it %v later", markedAt.Sub(startedAt), time.Since(markedAt))
	require.Less(t, time.Since(markedAt), maxObeyTime)
}
