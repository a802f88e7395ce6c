package command

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/pkg/instance"
	"bambooferry.example/bambooferry/pkg/version"
)

// notAvailable is shown in tables for a value that is unknown or does not apply.
const notAvailable = "-"

// statusText formats a status as tables for operators.
func statusText(now time.Time, st *server.Status) string {
	var b strings.Builder
	fmt.Fprintf(&b, "As seen by %s in %s: highest revision %d\n\n", replaceControlChars(st.Instance), replaceControlChars(st.DataCentre), st.HighestRevision)
	writeTable(&b, func(w *tabwriter.Writer) { writeMemberRows(w, st) })
	total := totalLoad(st)
	fmt.Fprintf(&b, "\nStreams: %d, paused: %d. Crash marks: at most %d at one instance.\n", total.Streams, total.Paused, total.CrashMarks)
	if len(total.Slots) > 0 {
		b.WriteByte('\n')
		writeTable(&b, func(w *tabwriter.Writer) { writeSlotRows(w, total.Slots) })
	}
	if r := newestRoles(st); r != nil {
		b.WriteByte('\n')
		writeTable(&b, func(w *tabwriter.Writer) { writeRoleRows(w, r) })
	}
	b.WriteByte('\n')
	if len(st.Changes) == 0 {
		b.WriteString("No version change is asked for.\n")
	}
	for i := range st.Changes {
		writeChange(&b, now, &st.Changes[i])
	}
	return b.String()
}

// replaceControlChars replaces control characters, so that a name is safe to show on a terminal.
func replaceControlChars(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r >= 0x7f && r < 0xa0 {
			return '?'
		}
		return r
	}, s)
}

func writeTable(b *strings.Builder, rows func(w *tabwriter.Writer)) {
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	rows(w)
	_ = w.Flush()
}

func writeMemberRows(w *tabwriter.Writer, st *server.Status) {
	fmt.Fprintln(w, "INSTANCE\tDATA CENTRE\tSTATE\tINCARNATION\tREVISION\tLAG\tSTREAMS\tPAUSED")
	for i := range st.Members {
		m := &st.Members[i]
		revision, streams, paused := notAvailable, notAvailable, notAvailable
		if m.Revision != nil {
			revision = fmt.Sprint(*m.Revision)
		}
		if m.Load != nil {
			streams, paused = fmt.Sprint(m.Load.Streams), fmt.Sprint(m.Load.Paused)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", replaceControlChars(m.ID), replaceControlChars(m.DataCentre), replaceControlChars(string(m.State)), m.Incarnation, revision, lagText(st, m), streams, paused)
	}
}

func lagText(st *server.Status, m *server.MemberStatus) string {
	switch {
	case m.State == instance.Dead:
		return notAvailable
	case m.Revision == nil:
		return "no answer"
	case !st.Lags(m):
		return "no"
	}
	lag := fmt.Sprintf("%.1fs", float64(m.LagMillis)/1000)
	if lagsTooLong(m) {
		lag += " TOO LONG"
	}
	return lag
}

// totalLoad adds up the loads of the members that reported one. Crash marks are shared between instances,
// so it takes their largest number.
func totalLoad(st *server.Status) server.Load {
	sum := server.Load{Slots: map[string]server.SlotLoad{}}
	for i := range st.Members {
		l := st.Members[i].Load
		if l == nil {
			continue
		}
		sum.Streams += l.Streams
		sum.Paused += l.Paused
		sum.CrashMarks = max(sum.CrashMarks, l.CrashMarks)
		for kind, n := range l.Slots {
			s := sum.Slots[kind]
			sum.Slots[kind] = server.SlotLoad{
				Held: s.Held + n.Held, InUse: s.InUse + n.InUse, Idle: s.Idle + n.Idle, Lent: s.Lent + n.Lent, Borrowed: s.Borrowed + n.Borrowed,
			}
		}
	}
	return sum
}

func writeSlotRows(w *tabwriter.Writer, slots map[string]server.SlotLoad) {
	fmt.Fprintln(w, "SLOTS OF\tHELD\tIN USE\tIDLE\tLENT\tBORROWED")
	for _, kind := range slices.Sorted(maps.Keys(slots)) {
		n := slots[kind]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", replaceControlChars(kind), n.Held, n.InUse, n.Idle, n.Lent, n.Borrowed)
	}
}

// newestRoles returns the role report with the highest fencing number, that of the current sender of
// orders, or nil if no member has one.
func newestRoles(st *server.Status) *server.RoleReport {
	var newest *server.RoleReport
	for i := range st.Members {
		if l := st.Members[i].Load; l != nil && l.Roles != nil && (newest == nil || l.Roles.Fence > newest.Fence) {
			newest = l.Roles
		}
	}
	return newest
}

func writeRoleRows(w *tabwriter.Writer, r *server.RoleReport) {
	fmt.Fprintln(w, "ENTRY\tROLE\tWANTED\tHELD\tNO REPORT\tOTHERS")
	for _, s := range r.Roles {
		others := notAvailable
		if len(s.Others) > 0 {
			others = replaceControlChars(strings.Join(s.Others, ", "))
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", replaceControlChars(s.Entry), replaceControlChars(s.Role), s.Wanted, s.Held, s.Unknown, others)
	}
}

func writeChange(b *strings.Builder, now time.Time, c *server.ChangeStatus) {
	fmt.Fprintf(b, "Change of %s from %s to %s: %s, share %.1f%%\n", replaceControlChars(c.Entry), replaceControlChars(c.From), replaceControlChars(c.To), replaceControlChars(string(c.State)), c.Share*100)
	if c.Reason != "" {
		fmt.Fprintf(b, "  reason of the last step: %s\n", replaceControlChars(c.Reason))
	}
	if c.Mark != "" {
		fmt.Fprintf(b, "  the new version is marked bad: %s\n", replaceControlChars(c.Mark))
	}
	if c.Warning != "" {
		fmt.Fprintf(b, "  warning: %s\n", replaceControlChars(c.Warning))
	}
	remaining := "passed"
	if d := c.Deadline.Sub(now); d > 0 {
		remaining = "in " + d.Truncate(time.Second).String()
	}
	fmt.Fprintf(b, "  deadline: %s (%s)\n", c.Deadline.UTC().Format(time.RFC3339), remaining)
	fmt.Fprintf(b, "  new version: %s; %d failures of its own\n", countsText(c.New), c.OwnFailures)
	fmt.Fprintf(b, "  old version: %s\n", countsText(c.Old))
}

func countsText(c version.Counts) string {
	return fmt.Sprintf("%d results, %d failed, %d of %d slow to answer, %d of %d slow between tokens", c.Requests, c.Failed, c.SlowFirstTokens, c.FirstTokens, c.SlowTokenIntervals, c.TokenIntervals)
}
