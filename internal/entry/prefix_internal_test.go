package entry

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// Guards against bytes of an answer that get lost between its beginning and its rest, against
// answers that are taken for complete, and against room that isn't asked for.
func TestReadPrefix(t *testing.T) {
	for _, size := range []int{0, 1, 100, scarcePrefixBytes, firstSegmentBytes, maxPrefixBytes - 1, maxPrefixBytes, maxPrefixBytes + 1, 200 << 10} {
		for _, known := range []bool{false, true} {
			for _, room := range []int64{0, firstSegmentBytes, maxPrefixBytes} {
				t.Run(fmt.Sprintf("%d bytes, known %t, room for %d", size, known, room), func(t *testing.T) {
					is := is.New(t)
					content := []byte(strings.Repeat("answer", size/6+1))[:size]
					length := int64(-1)
					if known {
						length = int64(size)
					}
					granted := int64(0)
					grow := func(n int64) bool {
						if granted+n > room {
							return false
						}
						granted += n
						return true
					}
					body := iotest.OneByteReader(bytes.NewReader(content))
					prefix, err := readPrefix(body, length, grow)
					is.True(int64(len(prefix)) <= max(granted, scarcePrefixBytes))
					is.True(len(prefix) <= maxPrefixBytes)
					is.True(err == nil || errors.Is(err, io.EOF))
					rest, restErr := io.ReadAll(body)
					is.NoErr(restErr)
					is.True(bytes.Equal(append(prefix, rest...), content))
					is.True(err == nil || len(rest) == 0)
					is.True(err == nil || len(prefix) == size)
					if granted > 0 && int64(size) < min(room, maxPrefixBytes) {
						is.True(err != nil) // seen to be complete
					}
				})
			}
		}
	}
}

// Guards against an answer that breaks off and is taken for complete.
func TestReadPrefixOfBrokenAnswer(t *testing.T) {
	is := is.New(t)
	body := io.MultiReader(strings.NewReader("begin"), iotest.ErrReader(io.ErrUnexpectedEOF))
	_, err := readPrefix(body, 100, func(int64) bool { return true })
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(!errors.Is(err, io.EOF))
}
