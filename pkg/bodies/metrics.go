package bodies

import "github.com/prometheus/client_golang/prometheus"

// collector shows the state of a pool.
type collector struct {
	pool                    *Pool
	bytes, refused, yielded *prometheus.Desc
}

var _ prometheus.Collector = (*collector)(nil)

// NewCollector returns the metrics of a pool; their names begin with a prefix.
func NewCollector(pool *Pool, prefix string) prometheus.Collector {
	describe := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(prefix+"_bodies_"+name, help, nil, nil)
	}
	return &collector{
		pool:    pool,
		bytes:   describe("bytes", "Memory that is reserved for request bodies, in bytes."),
		refused: describe("refused_total", "Request bodies that got no memory."),
		yielded: describe("yielded_total", "Request bodies that gave way to other requests while they were received."),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, descriptions)
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	usage := c.pool.Usage()
	metrics <- prometheus.MustNewConstMetric(c.bytes, prometheus.GaugeValue, float64(usage.Bytes))
	metrics <- prometheus.MustNewConstMetric(c.refused, prometheus.CounterValue, float64(usage.Refused))
	metrics <- prometheus.MustNewConstMetric(c.yielded, prometheus.CounterValue, float64(usage.Yielded))
}
