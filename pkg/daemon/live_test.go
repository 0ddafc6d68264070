package daemon

import (
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingomount/flamingomount/pkg/metrics"
	"github.com/flamingomount/flamingomount/pkg/settings"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = It("reports a paused snapshot while the control goroutine has not run", func() {
	s := settings.Defaults()
	s.Platform.URL = "http://127.0.0.1:1"
	s.Bundle.PublicKeys = []string{"11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo="}
	opts := withDefaults(Options{Settings: &s, Keys: []Key{{ID: "k1", Secret: make([]byte, 32)}}, Now: time.Now})
	live, err := newLive(liveOptions{
		self:    snapshot.Self{Incarnation: types.Incarnation{VM: "127.0.0.1:2", Boot: "b"}, Region: "pokhara"},
		opts:    &opts,
		metrics: prometheus.NewRegistry(),
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(live.Load().Paused).To(BeTrue())
	Expect(live.Control.Load().Paused).To(BeFalse())
})

var _ = It("serves its metrics page while the control goroutine registers its own metrics", func() {
	s := settings.Defaults()
	s.Platform.URL = "http://127.0.0.1:1"
	s.Bundle.PublicKeys = []string{"11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo="}
	opts := withDefaults(Options{Settings: &s, Keys: []Key{{ID: "k1", Secret: make([]byte, 32)}}, Now: time.Now})
	m := metrics.New(func() metrics.Gauges { return metrics.Gauges{Revision: 12} })
	_, err := newLive(liveOptions{
		self:    snapshot.Self{Incarnation: types.Incarnation{VM: "127.0.0.1:2", Boot: "b"}, Region: "pokhara"},
		opts:    &opts,
		metrics: m.Registerer(),
	})
	Expect(err).NotTo(HaveOccurred())
	page := httptest.NewRecorder()
	m.Handler().ServeHTTP(page, httptest.NewRequest("GET", "/metrics", nil))
	Expect(page.Code).To(Equal(200), page.Body.String())
	Expect(page.Body.String()).To(ContainSubstring("flamingomount_config_revision 12"))
})
