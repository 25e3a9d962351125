package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Completion is the text that the stand-in makes for a program and a prompt. It is
// the same on every engine, so that a checker can compute it.
type Completion struct {
	Program    string
	PromptHash uint64
}

// Token returns the text of the token with an index: " w3.5fa1" and so on, the
// index and a tag of the program and prompt, so that a splice shows at every
// token. The first token also names the program and the prompt's hash.
func (a Completion) Token(index int) string {
	if index == 0 {
		return fmt.Sprintf("w0.%04x[program=%s,prompt=%016x]", a.tag(), a.Program, a.PromptHash)
	}
	return fmt.Sprintf(" w%d.%04x", index, a.tag())
}

func (a Completion) tag() uint16 {
	return uint16(xxhash.Sum64String(a.Program) ^ a.PromptHash)
}

// Text returns the tokens from one index up to before another.
func (a Completion) Text(from, to int) string {
	var text strings.Builder
	for index := from; index < to; index++ {
		text.WriteString(a.Token(index))
	}
	return text.String()
}
