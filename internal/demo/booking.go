package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/deployment"
	"bambooferry.example/bambooferry/internal/server"
	standinplatform "bambooferry.example/bambooferry/internal/standin/platform"
	"bambooferry.example/bambooferry/internal/standin/service"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/generation"
)

const (
	bookingDeadline = 3 * time.Second
	// bookingDuration is how long the service takes for a booking, so that the second call arrives while the first runs.
	bookingDuration = catalogue.Duration(200 * time.Millisecond)
)

// bookingCall returns a call that books a stall under an idempotency key.
func bookingCall(stall int) caller.Call {
	return caller.Call{
		APIKey: deployment.APIKey, Entry: deployment.ServiceName, Method: http.MethodPost, Path: "/stalls",
		Body: fmt.Sprintf(`{"stall": %d}`, stall), IdempotencyKey: fmt.Sprintf("booking-%d", stall), Deadline: bookingDeadline, Client: &http.Client{},
	}
}

// bookingRuns returns how often a booking ran, summed over all services.
func bookingRuns(d *deployment.Deployment, c caller.Call) int {
	runs := 0
	for _, s := range d.Services {
		runs += s.RunCounts()[service.ContentHash(c.Method, c.Path, c.Body)]
	}
	return runs
}

// bookTwice sends the same booking to two instances at the same time.
func bookTwice(ctx context.Context, d *deployment.Deployment) (string, bool) {
	for _, s := range d.Services {
		s.SetFaults(service.Faults{Delay: bookingDuration})
		defer s.SetFaults(service.Faults{})
	}
	c := bookingCall(7)
	addresses := d.AddressesFrom(len(d.Instances) - 2)[:2]
	var responses [2]caller.CallResponse
	var errs [2]error
	var callers sync.WaitGroup
	for i := range responses {
		callers.Go(func() { responses[i], errs[i] = c.Do(ctx, addresses[i]) })
	}
	callers.Wait()
	for i, err := range errs {
		if err != nil || responses[i].Error != nil {
			return fmt.Sprintf("caller %d got no answer: %v %+v", i, err, responses[i].Error), false
		}
	}
	runs, sameBody := bookingRuns(d, c), responses[0].Body == responses[1].Body
	modes := [2]string{responses[0].Header.Get(server.CallModeHeader), responses[1].Header.Get(server.CallModeHeader)}
	observed := fmt.Sprintf("the booking ran %d time(s); the callers were treated as %s and %s; same answer: %t", runs, modes[0], modes[1], sameBody)
	return observed, runs == 1 && sameBody && modes[0] != modes[1]
}

// bookInOutage books while the key-value service is down, then again with the ticket from the refusal.
func bookInOutage(ctx context.Context, d *deployment.Deployment) (string, bool) {
	d.Platform.SetFaults(standinplatform.Faults{Down: true})
	defer d.Platform.SetFaults(standinplatform.Faults{})
	c := bookingCall(8)
	addresses := d.AddressesFrom(len(d.Instances) - 2)[:2]
	startedAt := time.Now()
	refusal, err := c.Do(ctx, addresses[0])
	if err != nil || refusal.Error == nil {
		return fmt.Sprintf("the booking was not refused: %v, status %d", err, refusal.Status), false
	}
	elapsed, runsBefore := time.Since(startedAt), bookingRuns(d, c)
	ticket := refusal.Header.Get(server.TicketHeader)
	c.IdempotencyKey = ticket
	// The second instance forwards the call to the instance that issued the ticket.
	var responses [2]caller.CallResponse
	for i := range responses {
		if responses[i], err = c.Do(ctx, addresses[1-i]); err != nil || responses[i].Error != nil {
			return fmt.Sprintf("the ticket did not work: %v %+v", err, responses[i].Error), false
		}
	}
	runsAfter, sameBody := bookingRuns(d, c), responses[0].Body == responses[1].Body
	observed := fmt.Sprintf("refused after %d ms with %s, outcome %s, and a ticket (%t), when it had run %d time(s); sent twice with the ticket it ran %d time(s); same answer: %t",
		elapsed.Milliseconds(), refusal.Error.Code, refusal.Error.Outcome, ticket != "", runsBefore, runsAfter, sameBody)
	return observed, refusal.Error.Outcome == string(generation.NotRun) && ticket != "" && runsBefore == 0 && runsAfter == 1 && sameBody
}
