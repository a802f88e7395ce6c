package policy_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/engine/policy"
	_ "bambooferry.example/bambooferry/pkg/engine/policy/expected"
	_ "bambooferry.example/bambooferry/pkg/engine/policy/least"
	_ "bambooferry.example/bambooferry/pkg/engine/policy/roundrobin"
	_ "bambooferry.example/bambooferry/pkg/engine/policy/twochoices"
	_ "bambooferry.example/bambooferry/pkg/engine/policy/work"
)

// Guards against a policy that picks an index outside the list, or never picks some target.
func TestEveryPolicyReachesEveryTarget(t *testing.T) {
	require.Equal(t, []string{"expected_time", "expected_work", "least_requests", "round_robin", "two_choices"}, policy.Names())
	for _, name := range policy.Names() {
		p, err := policy.New(name, 1)
		require.NoError(t, err)
		list := []policy.Candidate{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}, {Name: "c", Weight: 1}}
		picked := map[string]int{}
		for range 300 {
			i := p.Pick(time.Time{}, list)
			picked[list[i].Name]++
			list[i].Load++
		}
		require.Len(t, picked, 3, name)
	}
}

// Guards against a mistyped policy name that silently selects a default.
func TestUnknownPolicy(t *testing.T) {
	_, err := policy.New("fastest", 1)
	var unknown *policy.UnknownError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, "fastest", unknown.Name)
}
