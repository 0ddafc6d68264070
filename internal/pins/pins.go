// Package pins keeps the versions of libraries in go.mod until the packages
// that use them land.
package pins

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/julienschmidt/httprouter"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/rotisserie/eris"
	_ "github.com/sirupsen/logrus"
	_ "github.com/sourcegraph/conc"
	_ "github.com/spf13/cobra"
	_ "go.uber.org/goleak"
	_ "go.yaml.in/yaml/v3"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "pgregory.net/rapid"
)
