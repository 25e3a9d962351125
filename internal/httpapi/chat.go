package httpapi

import (
	"encoding/json"
	"mime"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	contentTypeJSON = "application/json"
	objectReply     = "chat.completion"
	objectChunk     = "chat.completion.chunk"
	replyIDPrefix   = "chatcmpl-"
)

// chat serves a chat completion.
func (s *Server) chat(c *gin.Context) {
	body, release, problem := s.readBody(c)
	defer release()
	if problem != nil {
		s.fail(c, problem)
		return
	}
	call, deadline, problem := s.newChatCall(c, body)
	if problem != nil {
		s.fail(c, problem)
		return
	}
	if call.Stream {
		s.streamChat(c, call, deadline)
		return
	}
	event := structs.CallerSubmit{Request: infoOf(c).id, Call: call, Deadline: deadline}
	reply, ok := postAndWait[structs.ReplyOutcome](s, c, event, deadline)
	if !ok {
		return
	}
	if reply.Outcome.Kind != structs.OutcomeAnswered || isEngineError(reply.Outcome) {
		s.writeOutcome(c, reply.Outcome)
		return
	}
	if _, err := indexToolCalls(reply.Outcome.ToolCalls); err != nil {
		s.fail(c, newProblem(structs.ReasonTargetFailed, outcomeUnknown, err.Error()))
		return
	}
	s.recordAnswer(c, reply.Outcome)
	s.writeJSON(c, http.StatusOK, chatResponse(infoOf(c), reply.Outcome))
}

// isEngineError reports whether an outcome is an HTTP error of the engine
// rather than a completion.
func isEngineError(outcome structs.Outcome) bool {
	return outcome.Status != 0 && outcome.Status != http.StatusOK
}

// newChatCall returns the call of a chat completion request and its deadline.
func (s *Server) newChatCall(c *gin.Context, body []byte) (*structs.Call, time.Time, *Problem) {
	if problem := requireJSON(c.Request); problem != nil {
		return nil, time.Time{}, problem
	}
	h, problem := parseCallHeaders(c.Request.Header)
	if problem != nil {
		return nil, time.Time{}, problem
	}
	request, problem := parseChatRequest(body, s.config.MaxTokens)
	if problem != nil {
		return nil, time.Time{}, problem
	}
	service, problem := s.engineService(h.service, request.model)
	if problem != nil {
		return nil, time.Time{}, problem
	}
	call, deadline, problem := s.newCall(c, h, service)
	if problem != nil {
		return nil, time.Time{}, problem
	}
	if problem := setChatFields(call, request, body); problem != nil {
		return nil, time.Time{}, problem
	}
	return call, deadline, nil
}

// engineService returns the service of a chat completion, named by the header
// or else by the model.
func (s *Server) engineService(header structs.ServiceName, model string) (structs.Service, *Problem) {
	name := header
	if name == "" {
		name = structs.ServiceName(model)
	}
	if !validName(string(name), maxServiceLength) {
		return structs.Service{}, refusal(structs.ReasonUnknownService,
			"expected a service in the field model or the header %s", HeaderService)
	}
	service, ok := s.core.Settings().Service(name)
	if !ok {
		return structs.Service{}, refusal(structs.ReasonUnknownService, "there is no service %q", name)
	}
	if service.Kind != structs.ServiceEngine {
		return structs.Service{}, refusal(structs.ReasonInvalid, "service %q does not serve models", name)
	}
	return service, nil
}

func setChatFields(call *structs.Call, request *chatRequest, body []byte) *Problem {
	model := request.model
	if model == "" {
		model = string(call.Service)
	}
	encoded, err := request.encode(model)
	if err != nil {
		return refusal(structs.ReasonInvalid, "the body cannot be encoded again")
	}
	call.Kind = structs.CallChat
	call.Method, call.Path, call.ContentType = http.MethodPost, wire.ChatRoute, contentTypeJSON
	call.Body = encoded
	call.Digest = requestDigest(call.Service, call.Method, call.Path, call.ContentType, body)
	call.Stream = request.stream
	call.MaxTokens = request.maxTokens
	call.PromptTokens = promptTokens(request.messages, request.tools)
	call.SharedKey, call.SharedTokens = sharedPrefix(request.messages)
	call.History = chainDigests(request.messages)
	return nil
}

// requireJSON rejects a request whose declared content type is not JSON.
func requireJSON(r *http.Request) *Problem {
	declared := r.Header.Get("Content-Type")
	if declared == "" {
		return nil
	}
	media, _, err := mime.ParseMediaType(declared)
	if err != nil || media != contentTypeJSON {
		return refusal(ReasonUnsupportedMedia, "expected the content type %s", contentTypeJSON)
	}
	return nil
}

// chatResponse returns the response to a completion that is not streamed.
func chatResponse(info *requestInfo, outcome structs.Outcome) wire.ChatReply {
	finish := outcome.Finish
	return wire.ChatReply{
		ID: replyIDPrefix + string(info.id), Object: objectReply,
		Created: info.started.Unix(), Model: string(info.service),
		Choices: []wire.ChatChoice{{
			Message: &wire.ChatMessage{
				Role: roleAssistant, Content: outcome.Text, ToolCalls: outcome.ToolCalls,
			},
			FinishReason: &finish,
		}},
		Usage: wireUsage(outcome.Usage),
	}
}

func wireUsage(usage structs.Usage) wire.Usage {
	return wire.Usage{
		PromptTokens: int(usage.PromptTokens), CompletionTokens: int(usage.CompletionTokens),
		TotalTokens: int(usage.Tokens()), CachedTokens: int(usage.CachedTokens),
	}
}

// recordAnswer sets the outcome of an answered call in the response headers and
// the access log.
func (s *Server) recordAnswer(c *gin.Context, outcome structs.Outcome) {
	info := infoOf(c)
	info.outcome = outcomeAnswered
	if outcome.Replayed {
		info.outcome = outcomeReplayed
	}
	c.Header(HeaderOutcome, info.outcome)
	c.Header(HeaderProgram, string(info.program))
}

// writeJSON responds with value encoded as JSON.
func (s *Server) writeJSON(c *gin.Context, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		s.log.Error("failed to encode the response", "request", infoOf(c).id, "error", err)
		s.fail(c, newProblem(ReasonInternal, outcomeUnknown, "the answer could not be encoded"))
		return
	}
	s.writeBody(c, status, contentTypeJSON, body)
}
