package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alexflint/go-arg"
	_ "github.com/cenkalti/backoff/v4"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/errors"
	_ "github.com/coder/websocket"
	_ "github.com/gin-gonic/gin"
	_ "github.com/leanovate/gopter"
	_ "github.com/oklog/ulid/v2"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/ugorji/go/codec"
	_ "go.uber.org/fx"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gopkg.in/yaml.v3"
)
