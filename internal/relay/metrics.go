package relay

import (
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bambooferry.example/bambooferry/internal/callerconn"
)

// instruments holds the relay's counters and histograms.
type instruments struct {
	set                *metrics.Set
	requestsInProgress *metrics.Counter
	connsOpened        *metrics.Counter
	connsFailed        *metrics.Counter
	firstEvent         *metrics.Histogram
	eventGap           *metrics.Histogram
}

func (m *instruments) register(s *metrics.Set) {
	if s == nil {
		s = metrics.NewSet()
	}
	m.set = s
	m.requestsInProgress = s.GetOrCreateCounter("bambooferry_requests_in_progress")
	m.connsOpened = s.GetOrCreateCounter("bambooferry_target_connections_opened_total")
	m.connsFailed = s.GetOrCreateCounter("bambooferry_target_connections_failed_total")
	m.firstEvent = s.GetOrCreateHistogram("bambooferry_first_event_seconds")
	m.eventGap = s.GetOrCreateHistogram("bambooferry_event_gap_seconds")
}

func (m *instruments) requestStarted(*callerRequest) { m.requestsInProgress.Inc() }

func (m *instruments) requestEnded(req *callerRequest) {
	m.requestsInProgress.Dec()
	m.set.GetOrCreateHistogram(fmt.Sprintf("bambooferry_request_seconds{kind=%q}", req.route.Kind)).Update(time.Since(req.startedAt).Seconds())
}

func (m *instruments) recordRefusal(refusal *Refusal) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bambooferry_refusals_total{code=%q}", refusal.Code)).Inc()
}

// recordUnanswered counts a request that ended without an answer.
func (m *instruments) recordUnanswered(u callerconn.Unanswered) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bambooferry_requests_unanswered_total{closed_by=%q,phase=%q}", u.ClosedBy, u.Phase)).Inc()
}

// recordPanic counts panics that were recovered.
func (m *instruments) recordPanic() {
	m.set.GetOrCreateCounter("bambooferry_panics_total").Inc()
}

// recordStatement counts what targets state about new requests: "leaving" or "backoff".
func (m *instruments) recordStatement(statement string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bambooferry_target_statements_total{statement=%q}", statement)).Inc()
}

// recordStale counts responses to earlier requests, which were discarded; notRun is set for those that state a refusal.
func (m *instruments) recordStale(notRun bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bambooferry_stale_responses_total{not_run=%q}", strconv.FormatBool(notRun))).Inc()
}

// recordNotHeld counts responses of which a part was not held, since its target held its share of the memory: "header", "body",
// "event" or "comments".
func (m *instruments) recordNotHeld(part string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bambooferry_responses_not_held_total{part=%q}", part)).Inc()
}

// recordCrashCheck counts the checks of targets that lost a request: "connection_refused",
// "connection_closed", "other_incarnation", "connection_accepted" or "no_connection".
func (m *instruments) recordCrashCheck(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bambooferry_crash_checks_total{result=%q}", result)).Inc()
}

func (m *instruments) recordAttempt(req *callerRequest, reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bambooferry_attempts_total{kind=%q,end=%q}", req.route.Kind, reason)).Inc()
}

func (m *instruments) recordDial(_ time.Duration, err error) {
	if err != nil {
		m.connsFailed.Inc()
		return
	}
	m.connsOpened.Inc()
}

func (m *instruments) recordEvent(req *callerRequest, now, last time.Time) {
	if last.IsZero() {
		m.firstEvent.Update(now.Sub(req.startedAt).Seconds())
		return
	}
	m.eventGap.Update(now.Sub(last).Seconds())
}

// recordAdmissionWait counts a request that has waited for room, however that ended.
func (m *instruments) recordAdmissionWait(d time.Duration) {
	m.set.GetOrCreateHistogram("bambooferry_admission_wait_seconds").Update(d.Seconds())
}

// recordAdmittedLate counts a request that was admitted after it has waited.
func (m *instruments) recordAdmittedLate() {
	m.set.GetOrCreateCounter("bambooferry_admission_admitted_total").Inc()
}

func (m *instruments) recordAdmissionRefusal(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bambooferry_admission_refusals_total{reason=%q}", reason)).Inc()
}
