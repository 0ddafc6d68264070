// Package guard keeps a panic from ending more than the work that caused it. Each
// panic is logged with its stack and counted.
package guard

import (
	"errors"
	"net/http"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// ErrPanicked means that some work ended in a panic, which was logged.
var ErrPanicked = errors.New("panicked")

// Guard runs work that must not take the process down. It is safe for
// concurrent use.
type Guard struct {
	log    logrus.FieldLogger
	panics *prometheus.CounterVec
}

// New returns a guard and registers its counter.
func New(log logrus.FieldLogger, registry prometheus.Registerer) *Guard {
	g := &Guard{log: log, panics: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "flamingomount_gateway_panics_total",
		Help: "Panics that were caught, by the part that they occurred in.",
	}, []string{"part"})}
	registry.MustRegister(g.panics)
	return g
}

// Do runs work and returns ErrPanicked, wrapped with the part's name, if it
// panicked.
func (g *Guard) Do(part string, work func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			g.note(part, value)
			err = eris.Wrap(ErrPanicked, part)
		}
	}()
	work()
	return nil
}

func (g *Guard) note(part string, value any) {
	g.panics.WithLabelValues(part).Inc()
	g.log.WithFields(logrus.Fields{"part": part, "panic": value, "stack": string(debug.Stack())}).Error("panic caught")
}

// Handler returns a handler that ends only the connection of a request on which
// next panics. The deliberate http.ErrAbortHandler is not counted.
func (g *Guard) Handler(part string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if value != http.ErrAbortHandler {
				g.note(part, value)
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}
