// Package guard confines a panic to the work that caused it. Each panic is logged
// with its stack and counted.
package guard

import (
	"errors"
	"net/http"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// ErrPanicked means that guarded work panicked. The panic was already logged.
var ErrPanicked = errors.New("panicked")

// Guard runs work whose panics must not end the process. It is safe for
// concurrent use.
type Guard struct {
	log    logrus.FieldLogger
	panics *prometheus.CounterVec
}

// New returns a guard and registers its panic counter.
func New(log logrus.FieldLogger, registry prometheus.Registerer) *Guard {
	g := &Guard{log: log, panics: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "flamingomount_gateway_panics_total",
		Help: "Panics that were caught, by the part that they occurred in.",
	}, []string{"part"})}
	registry.MustRegister(g.panics)
	return g
}

// Do runs work. If it panics, Do returns ErrPanicked, wrapped with the name of the
// part.
func (g *Guard) Do(part string, work func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			g.record(part, value)
			err = eris.Wrap(ErrPanicked, part)
		}
	}()
	work()
	return nil
}

func (g *Guard) record(part string, value any) {
	g.panics.WithLabelValues(part).Inc()
	g.log.WithFields(logrus.Fields{"part": part, "panic": value, "stack": string(debug.Stack())}).Error("panic caught")
}

// Handler wraps next so that a panic ends only the connection of the request that
// caused it. The deliberate http.ErrAbortHandler is not counted.
func (g *Guard) Handler(part string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if value != http.ErrAbortHandler {
				g.record(part, value)
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}
