// Command 4 sends requests whose path begins with two slashes and checks that their target gets them as they were sent.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"bambooferry.example/bambooferry/review/lab"
)

const (
	host     = "desk.example"
	requests = 20
)

func main() { os.Exit(run()) }

func run() int {
	rec, err := lab.NewRecord(os.Getenv("CASE_DIR"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.Close()
	d, err := lab.NewDeployment(rec, 2, 2)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer d.Stop()
	start := "//"
	if os.Getenv("TROUBLE") == "0" {
		start = "/"
	}
	// The prefix of one slash begins and ends with a slash.
	d.Store.Put("op/config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "book", "host": host, "pathPrefix": "/", "kind": "unsafe", "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2, "service": "desk", "maxAttempts": 1,
		}},
		"services": []map[string]any{{"name": "desk", "healthPath": "/health", "maxConnections": 110}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	var mu sync.Mutex
	ran := map[string]string{}
	for i := range 2 {
		t := &lab.Target{
			ID: fmt.Sprintf("desk-%d", i+1), Service: "desk", Version: "v1", Zone: lab.ZoneName(i), Slots: 6, Record: rec,
			Run: func(_ *lab.Target, r *http.Request, id string) lab.Answer {
				mu.Lock()
				defer mu.Unlock()
				ran[id] = r.Method + " " + r.RequestURI
				return lab.Answer{Status: http.StatusOK, Body: "booked " + id}
			},
		}
		if err := t.Start(d.Store); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	if err := d.Start(); err != nil {
		fmt.Println(err)
		return 2
	}
	time.Sleep(500 * time.Millisecond)
	changed, answered := 0, 0
	for i := range requests {
		c := &lab.Caller{Instance: d.Instances[i%2], Host: host}
		id, target := fmt.Sprintf("r%d", i), fmt.Sprintf("%smarket-%d/pitch?place=%d", start, i%3, i)
		rec.Printf("sent %s: POST %s", id, target)
		reply := c.Send(http.MethodPost, target, id, time.Second)
		c.Close()
		rec.Printf("answered %s: %d %s", id, reply.Status, reply.Body)
		if reply.Status == http.StatusOK {
			answered++
		}
		mu.Lock()
		if got, ok := ran[id]; ok && got != "POST "+target {
			changed++
			rec.Printf("UNASKED: %s was sent as POST %s and run as %s", id, target, got)
		}
		mu.Unlock()
	}
	summary := fmt.Sprintf("%d requests, %d answered with success, %d run with another path than they were sent with", requests, answered, changed)
	rec.Printf("%s", summary)
	fmt.Println(summary)
	switch {
	case changed > 0:
		return 1
	case answered == 0:
		return 2
	}
	return 0
}
