package spread

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/engine/policy"
)

func candidates(n int) []policy.Candidate {
	list := make([]policy.Candidate, n)
	for i := range list {
		list[i] = policy.Candidate{Name: fmt.Sprint(i), Load: 2, Weight: 1}
	}
	return list
}

// Guards against a thundering herd: instances that all know of one idle engine must not all choose
// it.
func TestOneIdleEngineIsNotChosenByAll(t *testing.T) {
	list := candidates(150)
	list[7].Load = 0
	chosen := 0
	for seed := range uint64(200) {
		p, err := policy.New(Name, seed)
		require.NoError(t, err)
		if p.Pick(time.Time{}, list) == 7 {
			chosen++
		}
	}
	require.Less(t, chosen, 2*200*sampleSize/150, "about sampleSize in 150 of the 200 instances may choose it")
}

// Guards against prompts that queue behind others while another engine has no pending prompt.
func TestPendingPromptsOutweighLoad(t *testing.T) {
	list := candidates(2)
	list[0].Load, list[0].Pending, list[1].Load = 1, 1, 2
	p, err := policy.New(Name, 1)
	require.NoError(t, err)
	for range 20 {
		require.Equal(t, 1, p.Pick(time.Time{}, list))
	}
}
