package engine

import (
	"fmt"
	"strings"
)

// Answer is the text that the stand-in makes for a program and a prompt. It is
// the same on every engine, so that a checker can compute it.
type Answer struct {
	Program    string
	PromptHash uint64
}

// Token returns the text of the token with an index: " w3" and so on; the
// first also names the program and the prompt's hash.
func (a Answer) Token(index int) string {
	if index == 0 {
		return fmt.Sprintf("w0[program=%s,prompt=%016x]", a.Program, a.PromptHash)
	}
	return fmt.Sprintf(" w%d", index)
}

// Text returns the tokens from one index up to before another.
func (a Answer) Text(from, to int) string {
	var text strings.Builder
	for index := from; index < to; index++ {
		text.WriteString(a.Token(index))
	}
	return text.String()
}
