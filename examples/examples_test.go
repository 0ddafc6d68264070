package examples_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/bundle/source"
	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/settings"
)

func TestExamples(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "examples")
}

// size is what the brief says of a deployment.
type size struct {
	dir         string
	entries     int
	linkBits    int64
	dearest     func(published.Weights) float64
	weightStore string
}

func load(dir string) *published.Configuration {
	paths, err := filepath.Glob(filepath.Join(dir, "published", "*.yaml"))
	Expect(err).NotTo(HaveOccurred())
	var files []source.File
	for _, path := range paths {
		data, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		files = append(files, source.File{Name: path, Data: data})
	}
	config, err := source.Load(files, 1, time.Unix(0, 0))
	Expect(err).NotTo(HaveOccurred())
	return config
}

var _ = DescribeTable("each example has the real size of its deployment",
	func(want size) {
		config := load(want.dir)
		Expect(config.Regions).To(HaveLen(3))
		Expect(config.Links).To(HaveLen(3))
		for _, link := range config.Links {
			Expect(link.BitsPerSecond).To(Equal(want.linkBits))
			Expect(link.OneWay).To(Equal(55 * time.Millisecond))
		}
		for name, region := range config.Regions {
			Expect(region.DataCentres).To(HaveLen(1))
			Expect(region.WeightStore).To(Equal(string(name) == want.weightStore))
		}
		Expect(want.dearest(config.Policy.Weights)).To(BeNumerically("==", 3))
		Expect(config.Administrators).To(HaveLen(2))
		_, err := bundle.Build(config, "")
		Expect(err).NotTo(HaveOccurred())

		data, err := os.ReadFile(filepath.Join(want.dir, "vms.json"))
		Expect(err).NotTo(HaveOccurred())
		var listing platform.VMListing
		Expect(json.Unmarshal(data, &listing)).To(Succeed())
		var entries, engines, workers int
		for _, vm := range listing.VMs {
			service := config.Services[vm.Service]
			switch {
			case vm.Role == platform.RoleEntry:
				entries++
			case service.Kind == published.KindModel:
				Expect(service.Versions).To(ContainElement(vm.Version))
				engines++
			default:
				workers++
			}
		}
		Expect([]int{entries, engines, workers}).To(Equal([]int{want.entries, 12, 3}))

		daemons, err := filepath.Glob(filepath.Join(want.dir, "daemon", "*.yaml"))
		Expect(err).NotTo(HaveOccurred())
		Expect(daemons).To(HaveLen(3))
		for _, path := range daemons {
			_, err := settings.Load(path)
			Expect(err).NotTo(HaveOccurred(), path)
		}
	},
	Entry("Bagmati minds the share sent away", size{
		dir: "bagmati", entries: 8, linkBits: 140_000_000, weightStore: "kathmandu",
		dearest: func(w published.Weights) float64 { return w.SentAway },
	}),
	Entry("Kandy minds the urgent tail", size{
		dir: "kandy", entries: 7, linkBits: 2_000_000_000, weightStore: "colombo",
		dearest: func(w published.Weights) float64 { return w.UrgentTail },
	}),
)
