package main

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/alexflint/go-arg"

	"github.com/banyanglade/banyanglade/internal/standin/cluster"
)

func TestRunWritesReadyLineAndEnds(t *testing.T) {
	args := defaultArgs()
	parser, err := arg.NewParser(arg.Config{}, &args)
	if err != nil {
		t.Fatal(err)
	}
	if err := parser.Parse(strings.Fields("--place eu/eu1 --place us/us1 --engines 2 --tools 0")); err != nil {
		t.Fatal(err)
	}
	parent, closeParent := io.Pipe()
	output, standardOutput := io.Pipe()
	ended := make(chan error)
	go func() { ended <- run(withInputClose(context.Background(), parent), args, standardOutput) }()

	var ready cluster.Endpoints
	if err := json.NewDecoder(output).Decode(&ready); err != nil {
		t.Fatal(err)
	}
	if len(ready.Targets) != 6 || ready.Log == "" || ready.Members == "" || ready.Targets[5].DataCentre != "us1" {
		t.Errorf("ready %+v", ready)
	}
	if err := closeParent.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Errorf("run: %v", err)
	}
}
