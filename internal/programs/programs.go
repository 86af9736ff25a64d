// Package programs builds the commands of this module for tests that run them as
// processes.
//
// # Usage
//
//	if err := programs.Build("../..", folder); err != nil {
//		panic(err)
//	}
//	// In each test that runs a program:
//	is.NoErr(programs.StatSources("../.."))
package programs

import (
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/go-faster/errors"
)

// Option changes how programs are built.
type Option func(*exec.Cmd)

// WithCommit has the programs name the commit that they are built from, as the build line of
// deploy/system.toml does.
func WithCommit(commit string) Option {
	return func(c *exec.Cmd) {
		c.Env = append(c.Environ(), "GOFLAGS="+os.Getenv("GOFLAGS")+" -ldflags=-X=dandelionmux/internal/daemon.commit="+commit)
	}
}

// Build builds all commands below cmd in the module at root and writes the binaries to
// the folder. The compiler's messages go to the standard error.
func Build(root, folder string, options ...Option) error {
	build := exec.Command("go", "build", "-o", folder+string(filepath.Separator), "./cmd/...")
	for _, o := range options {
		o(build)
	}
	build.Dir = root
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return errors.Wrap(err, "build programs")
	}
	return nil
}

// StatSources calls stat on every Go file below root. The go command records the files
// that a test opens or stats while it runs, and discards the cached result of the test
// when one of them changes. Without these calls a test that runs a built program would
// be taken from the cache although the program's sources have changed.
func StatSources(root string) error {
	return filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" {
			return err
		}
		_, err = os.Stat(path)
		return err
	})
}
