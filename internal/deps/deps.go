// Package deps keeps the libraries that the design names in go.mod until the
// packages that use them land.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/gaissmai/bart"
	_ "github.com/justinas/alice"
	_ "github.com/looplab/fsm"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/shoenig/test/must"
	_ "github.com/spf13/cobra"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
