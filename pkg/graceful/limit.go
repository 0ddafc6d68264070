package graceful

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"
)

// Shares of the process's sockets that the listeners may take. The rest is for connections to
// endpoints, other daemons and the store.
const (
	// CallerShare is that of the listener for callers.
	CallerShare = 0.55
	// PeerShare is that of the listener for other daemons.
	PeerShare = 0.2
	// LookupShare is that of a listener to which all callers of a data centre may come at
	// once for a short question.
	LookupShare = 0.1
	// OtherShare is that of each further listener.
	OtherShare = 0.02
)

// heapShare is the share of the process's memory near which the garbage collector runs more often.
const heapShare = 0.6

// LimitHeap makes the garbage collector keep to a share of the memory that the process may take,
// in bytes; zero means that it is not limited.
func LimitHeap(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(float64(memory) * heapShare))
	}
}

// reservedFiles is the number of descriptors that are kept for files.
const reservedFiles = 200

// SocketLimit returns how many sockets a process may have open that may open a number of
// descriptors; zero means the limit of the operating system.
func SocketLimit(descriptors int) int {
	if descriptors <= 0 {
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
			return math.MaxInt32
		}
		descriptors = int(min(limit.Cur, math.MaxInt32))
	}
	return max(descriptors-reservedFiles, descriptors/2)
}
