// Package work registers the policy expected_work, which chooses by the time that a request is expected to take and to
// cost the requests that are already at a target.
//
// The policy owns its random source, which its caller guards as it does the policy. The package imports only package
// policy from this module.
package work
