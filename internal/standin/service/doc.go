// Package service is a stand-in for a plain service such as a booking service.
//
// It counts how often it ran each call, so that a call that ran twice can be
// detected. One lock guards the counts.
package service
