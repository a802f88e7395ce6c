package command

import (
	"context"
	"time"

	"bambooferry.example/bambooferry/internal/eventlog"
	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// eventsWait bounds the wait at a stop for an event log that takes no lines.
const eventsWait = 5 * time.Second

// startEvents starts to write an instance's event log and counts what it loses.
func startEvents(in *server.Server) *eventlog.Flusher {
	for name, count := range map[string]func(timeline.WriterStats) uint64{
		"bambooferry_timeline_lines":             func(s timeline.WriterStats) uint64 { return s.Written },
		"bambooferry_timeline_dropped_events":    func(s timeline.WriterStats) uint64 { return s.Dropped },
		"bambooferry_timeline_suppressed_events": func(s timeline.WriterStats) uint64 { return s.Suppressed },
	} {
		in.Metrics.NewGauge(name, func() float64 { return float64(count(in.Events.Stats())) })
	}
	return eventlog.StartFlusher(in.Events)
}

// endEvents closes the event log; what could not be written any more is told on the program's own log.
func endEvents(in *server.Server, p *eventlog.Flusher, cause error) {
	why := "graceful_stop"
	if cause != nil || !in.StoppedGracefully() {
		why = "stopped_at_once"
	}
	ctx, cancel := context.WithTimeout(context.Background(), eventsWait)
	defer cancel()
	if err := p.Close(ctx, time.Now(), why); err != nil {
		in.Log.Error().Err(err).Msg("events: The event log did not take the last lines.")
	}
	if late := in.Events.Stats().AfterClose; late > 0 {
		in.Log.Error().Uint64("events", late).Msg("events: Events came after the event log was closed.")
	}
}
