package daemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/prometheus/client_golang/prometheus"

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
