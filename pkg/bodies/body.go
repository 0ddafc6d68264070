package bodies

import (
	"container/list"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingomount/flamingomount/pkg/graceful"
)

// firstBytes is the first reservation for a body of unknown length, and smallBytes the most for
// one whose length is known; each further one doubles it.
const firstBytes = 1 << 10

// expired is a read deadline that wakes a pending read.
var expired = time.Unix(1, 0)

// Limits bounds one body.
type Limits struct {
	// Bytes is the largest size.
	Bytes int64
	// Timeout is the longest time to receive it.
	Timeout time.Duration
	// Urgent lets a body take the memory that is kept for small ones too, whatever its size.
	Urgent bool
}

// Body is the body of a request, which was received as a whole. Its memory counts until it is
// released.
type Body struct {
	pool *Pool
	data []byte
	// deadline sets the read deadline of the connection.
	deadline func(time.Time)
	urgent   bool
	// holders is the number of those that still use the content; released is set by Release.
	holders  atomic.Int32
	released atomic.Bool

	// The pool's mutex guards the following fields.
	reserved int64
	begunAt  time.Time
	// place is nil unless the body is being received.
	place   *list.Element
	yielded bool
}

// Bytes returns the content. Who uses it after Release has to hold the body.
func (b *Body) Bytes() []byte {
	return b.data
}

// Hold keeps the memory of the body until release is called, also after Release: the content is
// still used. It must be called before Release.
func (b *Body) Hold() (release func()) {
	b.holders.Add(1)
	return sync.OnceFunc(b.drop)
}

// Release gives the memory of the body back once nobody holds it any more. Further calls, and
// those of a nil body, do nothing.
func (b *Body) Release() {
	if b != nil && !b.released.Swap(true) {
		b.drop()
	}
}

func (b *Body) drop() {
	if b.holders.Add(-1) == 0 {
		b.pool.giveBack(b)
	}
}

// Receive reads the body of a request to its end and keeps it in memory of the pool until it is
// released. It returns ErrTooLarge, ErrNoMemory, ErrYielded or the error of reading it; the
// response then announces the close of the connection, and nothing stays reserved.
func (p *Pool) Receive(w http.ResponseWriter, r *http.Request, limits Limits) (*Body, error) {
	if p == nil {
		p = NewPool(Options{})
	}
	b := &Body{pool: p, urgent: limits.Urgent}
	b.holders.Store(1)
	if r.Body == nil || r.Body == http.NoBody {
		return b, nil
	}
	control := http.NewResponseController(w)
	// A writer that supports no deadlines is accepted too.
	b.deadline = func(at time.Time) { _ = control.SetReadDeadline(at) }
	if err := b.receive(r, limits); err != nil {
		// What is left of the body must not be read as a further request.
		w.Header().Set("Connection", "close")
		return nil, err
	}
	return b, nil
}

func (b *Body) receive(r *http.Request, limits Limits) error {
	if r.ContentLength > limits.Bytes {
		return ErrTooLarge
	}
	b.deadline(time.Now().Add(limits.Timeout))
	b.pool.begin(b)
	received := graceful.ReceiveBody(r.Context(), b.giveWay)
	complete := false
	defer func() {
		received()
		if !complete {
			b.pool.complete(b)
			b.Release()
		}
	}()
	if err := b.read(r.Body, r.ContentLength, limits.Bytes); err != nil {
		return b.reason(err)
	}
	if complete = b.pool.complete(b); !complete {
		return ErrYielded
	}
	b.deadline(time.Time{})
	return nil
}

// reason returns why a body was not received whose reading failed.
func (b *Body) reason(err error) error {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	if b.yielded {
		return ErrYielded
	}
	return err
}

// giveWay makes the body yield to another connection.
func (b *Body) giveWay() {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	if b.place != nil {
		b.pool.yield(b)
	}
}

// read reads from a source to its end; size is the length that was announced, negative if none
// was.
func (b *Body) read(source io.Reader, size, limit int64) error {
	// One more byte lets the reader see the end, or that the body is too large.
	most, next := limit+1, int64(firstBytes)
	if size >= 0 {
		most = size + 1
		next = smallBytes
	}
	for {
		next = min(next, most)
		if err := b.grow(next); err != nil {
			return err
		}
		ended, err := b.fill(source)
		if ended || err != nil {
			return err
		}
		if next == most {
			return ErrTooLarge
		}
		next *= 2
	}
}

// grow gives the content room for a number of bytes.
func (b *Body) grow(size int64) error {
	if err := b.pool.reserve(b, size-int64(cap(b.data))); err != nil {
		return err
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	return nil
}

// fill reads until the buffer is full, and reports whether the body has ended.
func (b *Body) fill(source io.Reader) (ended bool, err error) {
	for len(b.data) < cap(b.data) {
		n, err := source.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}
