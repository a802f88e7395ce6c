package command

import (
	"context"
	"time"

	"bambooferry.example/bambooferry/internal/eventlog"
	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// eventLogCloseTimeout bounds the wait at shutdown for an event log that accepts no lines.
const eventLogCloseTimeout = 5 * time.Second

// startEventLog starts writing an instance's event log and registers metrics of written and lost lines.
func startEventLog(inst *server.Server) *eventlog.Flusher {
	for name, count := range map[string]func(timeline.WriterStats) uint64{
		"bambooferry_timeline_lines":             func(s timeline.WriterStats) uint64 { return s.Written },
		"bambooferry_timeline_dropped_events":    func(s timeline.WriterStats) uint64 { return s.Dropped },
		"bambooferry_timeline_suppressed_events": func(s timeline.WriterStats) uint64 { return s.Suppressed },
	} {
		inst.Metrics.NewGauge(name, func() float64 { return float64(count(inst.Events.Stats())) })
	}
	return eventlog.StartFlusher(inst.Events)
}

// closeEventLog closes the event log and logs to the program's own log what could not be written.
func closeEventLog(inst *server.Server, f *eventlog.Flusher, cause error) {
	reason := "graceful_stop"
	if cause != nil || !inst.StoppedGracefully() {
		reason = "stopped_at_once"
	}
	ctx, cancel := context.WithTimeout(context.Background(), eventLogCloseTimeout)
	defer cancel()
	if err := f.Close(ctx, time.Now(), reason); err != nil {
		inst.Log.Error().Err(err).Msg("events: The last lines of the event log could not be written.")
	}
	if afterClose := inst.Events.Stats().AfterClose; afterClose > 0 {
		inst.Log.Error().Uint64("events", afterClose).Msg("events: Events occurred after the event log was closed.")
	}
}
