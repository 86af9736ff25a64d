package main

import (
	"io"
	"os"

	"github.com/go-faster/errors"
)

// save creates or replaces the file at path with what write writes.
func save(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	if err := write(file); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := file.Close(); err != nil {
		return errors.Wrap(err, "close file")
	}
	return nil
}
