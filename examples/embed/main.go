// Command embed uses pkg/generation and pkg/slot in an HTTP server other than Bambooferry.
//
// It streams one response over HTTP from two simulated engines in this process. The first
// fails after five tokens; pkg/generation decides to continue the response at the second.
// A slot.Holder allows each engine one request at a time. A Holder must be guarded by a lock
// when several requests run concurrently, which this example omits.
package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"time"

	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/slot"
)

const responseTokens = 12

// runEngine simulates an engine: it sends the tokens from a position onwards until it fails or finishes.
func runEngine(name string, attempt int, from uint64, out chan<- generation.Event) {
	out <- generation.Event{Kind: generation.Accepted, Attempt: attempt, Target: name}
	for i := from; i < responseTokens; i++ {
		if name == "engine-0" && i == 5 {
			out <- generation.Event{Kind: generation.Unreachable, Attempt: attempt, Target: name}
			return
		}
		out <- generation.Event{Kind: generation.TokenReceived, Attempt: attempt, Position: i, Text: fmt.Sprintf("token-%d ", i)}
	}
	out <- generation.Event{Kind: generation.Ended, Attempt: attempt, Position: responseTokens, Reason: "stop"}
}

// server is an HTTP handler that streams responses.
type server struct{ holder *slot.Holder }

func (s *server) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	events := make(chan generation.Event, responseTokens+2)
	stream := generation.Stream{MaxKeptBytes: 1 << 10, ResumeWait: time.Second, RetryWait: time.Millisecond, Timeouts: generation.Timeouts{FirstToken: time.Second, NextToken: time.Second, Accept: time.Second}}
	var tickets []int64
	defer func() {
		for _, id := range tickets {
			s.holder.ReleaseTicket(time.Now(), id)
		}
	}()
	nextEngine := 0
	for ev := (generation.Event{Kind: generation.Started}); !stream.Done(); ev = <-events {
		for _, a := range stream.Step(time.Now(), ev) {
			switch a.Kind {
			case generation.Begin:
				name := fmt.Sprintf("engine-%d", nextEngine)
				nextEngine++
				id, ok := s.holder.Acquire(time.Now(), name)
				if !ok {
					events <- generation.Event{Kind: generation.NoTarget, Attempt: a.Attempt}
					continue
				}
				tickets = append(tickets, id)
				fmt.Fprintf(os.Stderr, "attempt %d: %s at %s from position %d\n", a.Attempt, a.Mode, name, a.Position)
				go runEngine(name, a.Attempt, a.Position, events)
			case generation.Deliver:
				_, _ = io.WriteString(w, a.Text)
			case generation.Fail:
				_, _ = io.WriteString(w, a.Err.Error())
			}
		}
		if stream.Done() {
			return
		}
	}
}

func main() {
	now, self := time.Now(), slot.Key{ID: "only", Incarnation: 1}
	h := slot.NewHolder(self)
	h.RecordContact(now)
	h.SetRoster(now, &slot.Roster{Epoch: 1, Members: []slot.Member{{ID: self.ID, Incarnation: self.Incarnation, Joined: 1}}})
	h.SetLimits(now, map[string]int{"engine-0": 1, "engine-1": 1})
	web := httptest.NewServer(&server{holder: h})
	defer web.Close()
	res, err := http.Get(web.URL)
	if err != nil {
		panic(err)
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	fmt.Println(string(text))
	if strings.Count(string(text), "token-") != responseTokens {
		os.Exit(1)
	}
}
