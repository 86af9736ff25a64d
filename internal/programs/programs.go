// Package programs builds the product's programs for tests that run them as
// processes.
//
// # Usage
//
//	if err := programs.Build("../..", folder); err != nil {
//		panic(err)
//	}
//	// In each test that runs one:
//	is.NoErr(programs.StatSources("../.."))
package programs

import (
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/go-faster/errors"
)

// Build builds all programs of the sources below the root into a folder.
func Build(root, folder string) error {
	build := exec.Command("go", "build", "-o", folder+string(filepath.Separator), "./cmd/...")
	build.Dir = root
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return errors.Wrap(err, "build programs")
	}
	return nil
}

// StatSources looks at all sources below the root, so that the go command knows that a
// test's outcome depends on them and doesn't take it from its cache when they have
// changed. The go command only notices what is looked at while tests run.
func StatSources(root string) error {
	return filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" {
			return err
		}
		_, err = os.Stat(path)
		return err
	})
}
