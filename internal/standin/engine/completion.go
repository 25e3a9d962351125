package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Completion is the text that the stand-in generates for a program and a
// prompt. It is the same on every engine, so that a checker can compute the
// expected text.
type Completion struct {
	Program    string
	PromptHash uint64
}

// Token returns the text of the token at an index, such as " w3.5fa1": the
// index and a tag of the program and prompt, which distinguishes the tokens of
// different completions. The first token also contains the program and
// the hash of the prompt.
func (c Completion) Token(index int) string {
	if index == 0 {
		return fmt.Sprintf("w0.%04x[program=%s,prompt=%016x]", c.tag(), c.Program, c.PromptHash)
	}
	return fmt.Sprintf(" w%d.%04x", index, c.tag())
}

func (c Completion) tag() uint16 {
	return uint16(xxhash.Sum64String(c.Program) ^ c.PromptHash)
}

// Text returns the tokens with indexes in [from, to).
func (c Completion) Text(from, to int) string {
	var text strings.Builder
	for index := from; index < to; index++ {
		text.WriteString(c.Token(index))
	}
	return text.String()
}
