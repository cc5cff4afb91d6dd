package main

import "golang.org/x/sys/unix"

// socketError reports whether a socket has a pending error, such as a reset by its peer.
func socketError(fd int) bool {
	n, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	return err != nil || n != 0
}
