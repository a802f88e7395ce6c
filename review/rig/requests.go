package main

import (
	"fmt"
	"net/http"
	"time"
)

// playPath sends calls that must run once, with a path that begins with two slashes.
func playPath(f *fleet, trouble bool) (bool, error) {
	if err := f.addEngines("desk", 2); err != nil {
		return false, err
	}
	f.putConfig(1, []map[string]any{routeOf("all", "/", "unsafe", "desk")}, []string{"desk"})
	if err := f.startInstances(2); err != nil {
		return false, err
	}
	held := true
	for i := range 6 {
		target := fmt.Sprintf("/orders/%d/cancel?reason=%d", i, i)
		if trouble {
			target = "/" + target
		}
		r := &request{id: fmt.Sprintf("path-%d", i), method: http.MethodPost, target: target, key: mainKey, body: []byte("body")}
		f.exchange(f.instances[i%2], r, callPatience)
		for _, ran := range f.runsOf(r.id) {
			if ran.target != target {
				held = false
				f.record.printf("request %q was sent for %s and has run as %s", r.id, target, ran.target)
			}
		}
	}
	return held, nil
}

// playKey revokes a key, which its caller goes on to send on a public route.
func playKey(f *fleet, trouble bool) (bool, error) {
	const key = "key-revoked"
	if err := f.addEngines("desk", 2); err != nil {
		return false, err
	}
	public := routeOf("public", "/public/", "safe", "desk")
	public["public"] = true
	routes := []map[string]any{public, routeOf("calls", "/calls/", "safe", "desk")}
	f.putConfig(1, routes, []string{"desk"}, key)
	if err := f.startInstances(2); err != nil {
		return false, err
	}
	held := true
	send := func(phase string) {
		for i := range 6 {
			r := &request{id: fmt.Sprintf("%s-%d", phase, i), method: http.MethodGet, target: "/public/status", key: key}
			f.exchange(f.instances[i%2], r, callPatience)
			for _, ran := range f.runsOf(r.id) {
				if got := ran.header.Get("Authorization"); got != "" {
					held = false
					f.record.printf("request %q has run at an engine that got the header Authorization: %s", r.id, got)
				}
			}
		}
	}
	send("before")
	if trouble {
		f.putConfig(4, routes, []string{"desk"})
	}
	time.Sleep(contactTime)
	send("after")
	return held, nil
}
