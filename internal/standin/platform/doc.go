// Package platform is a stand-in for the platform's key-value service and instance list.
//
// One lock guards its values, leases and list. It can be made to fail in the
// ways in which the real service does.
package platform
