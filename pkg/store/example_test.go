package store_test

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/store"
)

// lossy is a client that loses the answer to each write, after the write took
// effect.
type lossy struct {
	entry store.Entry
}

// Do implements store.Client.
func (l *lossy) Do(_ context.Context, call store.Call) (store.Answer, error) {
	switch c := call.(type) {
	case store.Swap:
		l.entry = store.Entry{
			Key:     c.Key,
			Value:   c.Value,
			Version: l.entry.Version + 1,
		}
		return nil, store.ErrOutcomeUnknown
	case store.Get:
		return store.Value{
			Entry: l.entry,
		}, nil
	}
	return nil, store.ErrUnavailable
}

func ExampleClient() {
	var client store.Client = &lossy{}
	ctx := context.Background()
	_, err := client.Do(ctx, store.Swap{
		Key:   "share/17",
		Value: []byte("mine"),
	})
	if errors.Is(err, store.ErrOutcomeUnknown) {
		// Read the key to find out whether the write took effect.
		answer, _ := client.Do(ctx, store.Get{
			Key: "share/17",
		})
		fmt.Println(string(answer.(store.Value).Entry.Value))
	}
	// Output: mine
}
