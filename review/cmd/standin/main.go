// Command standin runs the cases of the review that are scripts, and their stand-ins of
// runners.
//
//	standin case NAME FOLDER
//	standin runner FLAGS
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/banyanglade/banyanglade/review/harness"
)

// Exit statuses of a case.
const (
	held    = 0
	broken  = 1
	invalid = 2
)

// check is a case. It reports whether the rule was broken.
type check func(d *harness.Deployment, trouble bool) (bool, error)

var cases = map[string]check{
	"smuggled": smuggled,
	"denied":   denied,
	"spoilt":   spoilt,
	"drained":  drained,
	"returned": returned,
	"doubled":  doubled,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		fmt.Fprintln(os.Stderr, serveRunner(os.Args[2:]))
		os.Exit(invalid)
	}
	if len(os.Args) != 4 || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin case NAME FOLDER | standin runner FLAGS")
		os.Exit(invalid)
	}
	os.Exit(run(cases[os.Args[2]], os.Args[3]))
}

// run runs a case in the project's folder, which is the working directory.
func run(c check, folder string) int {
	root, err := os.Getwd()
	if err != nil {
		return fail(err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return fail(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	record, err := harness.NewRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		return fail(err)
	}
	defer record.Close()
	d := harness.New(root, dir, record)
	defer d.Close()
	violated, err := c(d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.Logf("the case could not run: %v", err)
		return fail(err)
	}
	if violated {
		record.Logf("result: the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	record.Logf("result: the rule held")
	fmt.Println("the rule held")
	return held
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return invalid
}
