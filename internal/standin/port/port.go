// Package port keeps ports for stand-ins and processes that do not listen all the time.
package port

import (
	"net/netip"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Reserve binds a free loopback port without listening on it. Until release is called, the system gives the port to no
// program that asks for any free one and refuses connections to it, while a listener with SO_REUSEADDR, as the net
// package opens them, can use it.
func Reserve() (address netip.AddrPort, release func() error, err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return netip.AddrPort{}, nil, errors.Wrap(err, "reserve port")
	}
	address, err = bind(fd)
	if err != nil {
		return netip.AddrPort{}, nil, errors.Wrap(errors.CombineErrors(err, syscall.Close(fd)), "reserve port")
	}
	return address, func() error { return errors.Wrap(syscall.Close(fd), "release port") }, nil
}

func bind(fd int) (netip.AddrPort, error) {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return netip.AddrPort{}, err
	}
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: loopback.As4()}); err != nil {
		return netip.AddrPort{}, err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return netip.AddrPortFrom(loopback, uint16(name.(*syscall.SockaddrInet4).Port)), nil
}
