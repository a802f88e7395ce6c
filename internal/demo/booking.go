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
	// bookingTime is what the service takes, so that the second call comes while the first runs.
	bookingTime = catalogue.Duration(200 * time.Millisecond)
)

func booking(stall int) caller.Call {
	return caller.Call{
		APIKey: deployment.APIKey, Entry: deployment.ServiceName, Method: http.MethodPost, Path: "/stalls",
		Body: fmt.Sprintf(`{"stall": %d}`, stall), IdempotencyKey: fmt.Sprintf("booking-%d", stall), Deadline: bookingDeadline, Client: &http.Client{},
	}
}

// bookingRuns counts how often a booking ran at all services together.
func bookingRuns(d *deployment.Deployment, c caller.Call) int {
	n := 0
	for _, s := range d.Services {
		n += s.RunCounts()[service.ContentHash(c.Method, c.Path, c.Body)]
	}
	return n
}

// bookTwice sends one booking to two instances at the same time.
func bookTwice(ctx context.Context, d *deployment.Deployment) (string, bool) {
	for _, s := range d.Services {
		s.SetFaults(service.Faults{Delay: bookingTime})
		defer s.SetFaults(service.Faults{})
	}
	c := booking(7)
	at := d.AddressesFrom(len(d.Instances) - 2)[:2]
	var answers [2]caller.CallResponse
	var errs [2]error
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() { answers[i], errs[i] = c.Do(ctx, at[i]) })
	}
	group.Wait()
	for i, err := range errs {
		if err != nil || answers[i].Error != nil {
			return fmt.Sprintf("caller %d got no answer: %v %+v", i, err, answers[i].Error), false
		}
	}
	runs, same := bookingRuns(d, c), answers[0].Body == answers[1].Body
	treated := [2]string{answers[0].Header.Get(server.CallModeHeader), answers[1].Header.Get(server.CallModeHeader)}
	happened := fmt.Sprintf("the booking ran %d time(s); the callers were treated as %s and %s; same answer: %t", runs, treated[0], treated[1], same)
	return happened, runs == 1 && same && treated[0] != treated[1]
}

// bookInOutage books while the key-value service is down, then with the ticket of the refusal.
func bookInOutage(ctx context.Context, d *deployment.Deployment) (string, bool) {
	d.Platform.SetFaults(standinplatform.Faults{Down: true})
	defer d.Platform.SetFaults(standinplatform.Faults{})
	c := booking(8)
	at := d.AddressesFrom(len(d.Instances) - 2)[:2]
	begun := time.Now()
	refused, err := c.Do(ctx, at[0])
	if err != nil || refused.Error == nil {
		return fmt.Sprintf("the booking was not refused: %v, status %d", err, refused.Status), false
	}
	took, before := time.Since(begun), bookingRuns(d, c)
	ticket := refused.Header.Get(server.TicketHeader)
	c.IdempotencyKey = ticket
	// The second instance hands the call to the one that gave the ticket.
	var ran [2]caller.CallResponse
	for i := range ran {
		if ran[i], err = c.Do(ctx, at[1-i]); err != nil || ran[i].Error != nil {
			return fmt.Sprintf("the ticket did not work: %v %+v", err, ran[i].Error), false
		}
	}
	after, same := bookingRuns(d, c), ran[0].Body == ran[1].Body
	happened := fmt.Sprintf("refused after %d ms with %s, outcome %s, and a ticket (%t), when it had run %d time(s); sent twice with the ticket it ran %d time(s); same answer: %t",
		took.Milliseconds(), refused.Error.Code, refused.Error.Outcome, ticket != "", before, after, same)
	return happened, refused.Error.Outcome == string(generation.NotRun) && ticket != "" && before == 0 && after == 1 && same
}
