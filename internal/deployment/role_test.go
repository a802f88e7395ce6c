package deployment_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/deployment"
	"bambooferry.example/bambooferry/internal/server"
	standin "bambooferry.example/bambooferry/internal/standin/engine"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/order"
	"bambooferry.example/bambooferry/pkg/version"
)

// reportedRole returns the role in an engine's load report.
func (ct *changeTest) reportedRole(i int) string {
	l := engine.Load{}
	res, err := http.Get("http://" + ct.Engines[i].Address().String() + "/load")
	require.NoError(ct.t, err)
	defer res.Body.Close()
	require.NoError(ct.t, json.NewDecoder(res.Body).Decode(&l))
	return l.Role
}

// requestRoles publishes a catalogue that requests one role per target.
func (ct *changeTest) requestRoles(roles ...string) {
	for i, r := range roles {
		ct.Catalogue.Entry(deployment.ModelName).Targets[i].Role = r
	}
	ct.Catalogue.Revision++
	require.NoError(ct.t, ct.PutCatalogue(ct.Catalogue))
}

// requireRoles waits until the engines report the given roles.
func (ct *changeTest) requireRoles(reason string, roles ...string) {
	ct.t.Helper()
	require.Eventually(ct.t, func() bool {
		for i, r := range roles {
			if ct.reportedRole(i) != r {
				return false
			}
		}
		return true
	}, changeTimeout, 10*time.Millisecond, reason)
}

// roleCounts returns how many engines should have a role and how many have it, as reported by the senders of orders.
func (ct *changeTest) roleCounts() (wanted, held int) {
	for _, in := range ct.Instances {
		r, _ := server.Roles.Get(in.Board)
		for _, s := range r.Roles {
			wanted, held = wanted+s.Wanted, held+s.Held
		}
	}
	return wanted, held
}

// oldestSenderFence returns the lowest fencing number of the instances that send orders, or 0 if none does.
func (ct *changeTest) oldestSenderFence() int64 {
	oldest := int64(0)
	for _, in := range ct.Instances {
		if r, _ := server.Roles.Get(in.Board); r.Fence > 0 && (oldest == 0 || r.Fence < oldest) {
			oldest = r.Fence
		}
	}
	return oldest
}

// TestRolesOfCatalogue guards against engines that do not get or keep their role in the catalogue,
// whether they honour fencing numbers or ignore them.
func TestRolesOfCatalogue(t *testing.T) {
	for name, ignoreFence := range map[string]bool{"honouring": false, "ignoring": true} {
		t.Run(name, func(t *testing.T) {
			ct := startChangeTest(t, false)
			ct.setEngineFaults(standin.Faults{VersionFaults: standin.VersionFaults{IgnoreFence: ignoreFence}})
			ct.requestRoles("prefill", "decode", "decode", "")
			ct.requireRoles("roles are ordered without a version change; an engine without a role stays unchanged", "prefill", "decode", "decode", "")
			require.Eventually(t, func() bool {
				wanted, held := ct.roleCounts()
				return wanted == 3 && held == 3
			}, changeTimeout, 10*time.Millisecond, "the roles must be reported for the status")
			ct.requestRoles("decode", "decode", "prefill", "")
			ct.requireRoles("an edit of the catalogue changes roles", "decode", "decode", "prefill", "")

			startsBefore := ct.deciderStarts()
			ct.expireLease()
			require.Eventually(t, func() bool { return ct.deciderStarts() > startsBefore }, changeTimeout, time.Millisecond)
			// The first sender continues until its own lease has expired, and may correct a role too.
			require.Eventually(t, func() bool { return ct.oldestSenderFence() > 1 }, changeTimeout, time.Millisecond)
			// An order that the first sender sent long ago arrives only now, at an engine that has not
			// received an order from a newer sender, because its role needed none.
			lateOrder := order.Order{Fence: 1, Kind: order.Role, Model: deployment.ModelName, Role: "prefill"}
			require.Equal(t, http.StatusOK, ct.sendOrder(0, lateOrder))
			ct.requireRoles("read back and corrected", "decode", "decode", "prefill", "")
			require.Equal(t, ignoreFence, ct.sendOrder(0, lateOrder) == http.StatusOK, "after the newer sender's order, only an engine that ignores fencing numbers obeys the old one")
			ct.requireRoles("read back and corrected again", "decode", "decode", "prefill", "")
			highestFence := map[string]int64{}
			for i, e := range ct.Engines {
				for _, o := range e.ObeyedOrders() {
					if o != lateOrder {
						require.GreaterOrEqual(t, o.Fence, highestFence[o.Model+string(rune(i))], "orders of an older sender after those of a newer one")
						highestFence[o.Model+string(rune(i))] = o.Fence
					}
				}
			}
		})
	}
}

// TestRolesDuringChange guards against a version change that ignores roles, and against role orders that
// interfere with the loading of versions.
func TestRolesDuringChange(t *testing.T) {
	ct := startChangeTest(t, false)
	for i, r := range []string{"prefill", "decode", "decode", "decode"} {
		ct.Catalogue.Entry(deployment.ModelName).Targets[i].Role = r
	}
	require.NoError(t, ct.ChangeModelVersion(time.Now().Add(30*time.Second), 0.2, 99))
	ct.requireState(version.Done, 0, 1, 2)
	ct.requireRoles("ordered along with loads", "prefill", "decode", "decode", "decode")
	for i := range ct.Engines {
		require.Contains(t, ct.loadedVersions(i), "v2")
	}
}
