package httpapi

import (
	"log/slog"
	"net/http"

	"github.com/gin-gonic/gin"
	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Routes without authentication.
const (
	healthRoute  = "/healthz"
	readyRoute   = "/readyz"
	metricsRoute = "/metrics"
)

// Server serves the HTTP requests of callers and operators.
type Server struct {
	config    Config
	core      Core
	log       *slog.Logger
	metrics   *serverMetrics
	ids       *requestIDs
	exchanges *registry
	limits    *limits
	engine    *gin.Engine
}

// New returns a server. It does not listen: use Handler or HTTPServer for that.
func New(config Config, core Core, scope tally.Scope, log *slog.Logger) *Server {
	config = config.withDefaults()
	s := &Server{
		config:    config,
		core:      core,
		log:       log,
		metrics:   newServerMetrics(scope),
		ids:       newRequestIDs(config.Instance, config.Incarnation),
		exchanges: newRegistry(),
		limits:    newLimits(config.MaxConcurrentRequests, config.MaxTotalBody),
	}
	s.engine = s.routes()
	return s
}

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler { return s.engine }

// HTTPServer returns an http.Server for Handler with the configured timeouts.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: s.config.HeaderTimeout,
		IdleTimeout:       DefaultIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelWarn),
	}
}

// Deliver passes a reply of the core to its request: a ReplyChunk,
// ReplyOutcome, ReplyProgram, ReplyPrograms, ReplySettings or ReplyApplied. It
// never blocks, and ignores other commands and those for requests that have ended.
func (s *Server) Deliver(command structs.Command) { s.exchanges.deliver(command) }

// serviceMethods are the methods allowed in requests to services.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (s *Server) routes() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.RedirectTrailingSlash = false
	engine.HandleMethodNotAllowed = true
	engine.Use(s.observe, s.recoverPanic, s.checkRequest)
	engine.NoRoute(func(c *gin.Context) {
		s.fail(c, refusal(ReasonNotFound, "no route for this path"))
	})
	engine.NoMethod(func(c *gin.Context) {
		s.fail(c, refusal(ReasonMethodNotAllowed, "the path does not take this method"))
	})
	s.publicRoutes(engine)
	s.callerRoutes(engine.Group("/v1", s.limitConcurrency, s.authenticate, s.requireStarted))
	s.operatorRoutes(engine.Group("", s.authenticate, s.requireOperator))
	return engine
}

func (s *Server) publicRoutes(group gin.IRoutes) {
	group.GET(healthRoute, s.healthz)
	group.GET(readyRoute, s.readyz)
	if s.config.Metrics != nil {
		group.GET(metricsRoute, gin.WrapH(s.config.Metrics))
	}
}

func (s *Server) callerRoutes(group gin.IRoutes) {
	group.POST("/chat/completions", s.chat)
	group.Match(serviceMethods, "/services/:service/*path", s.plain)
	group.POST("/programs", s.openProgram)
	group.GET("/programs/:id", s.showProgram)
	group.DELETE("/programs/:id", s.closeProgram)
}

func (s *Server) operatorRoutes(group gin.IRoutes) {
	group.GET("/v1/programs", s.listPrograms)
	group.GET("/v1/settings", s.getSetting)
	group.PUT("/v1/settings", s.putSettings)
	group.GET("/v1/settings/history", s.settingHistory)
	group.GET("/v1/settings/applied", s.settingsApplied)
	group.GET("/debug/state", s.requireRoot, s.dump)
	group.POST("/v1/drain", s.requireRoot, s.drain)
}
