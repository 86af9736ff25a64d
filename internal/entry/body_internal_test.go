package entry

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"dandelionmux/pkg/memory"
)

// Guards against a body that takes more memory than it is long, is not the caller's, or is taken
// for complete although it broke off.
func TestBodyIsReadIntoWhatWasReserved(t *testing.T) {
	const room = 8 << 20
	tests := []struct {
		name  string
		size  int
		known bool
		broke bool
		most  int64
		err   error
	}{
		{name: "empty", known: true},
		{name: "small", size: 1 << 10, known: true, most: 1 << 10},
		{name: "large", size: 5 << 20, known: true, most: 5 << 20},
		{name: "no length, small", size: 1 << 10, most: firstSegmentBytes},
		{name: "no length, as long as a segment", size: 1 << 20, most: 5 << 18},
		{name: "no length, large", size: 5 << 20, most: 6 << 20},
		{name: "too large", size: 9 << 20, known: true, err: errNoMemory},
		{name: "no length, too large", size: 9 << 20, err: errNoMemory},
		{name: "broke off", size: 1 << 20, known: true, broke: true, err: io.ErrUnexpectedEOF},
		{name: "no length, broke off", size: 1 << 20, broke: true, err: io.ErrUnexpectedEOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := memory.NewAccount(room)
			held := a.Open("orchard")
			content := bytes.Repeat([]byte("abcdefg"), tt.size/7+1)[:tt.size]
			r := iotest.HalfReader(bytes.NewReader(content))
			if tt.broke {
				r = io.MultiReader(io.LimitReader(r, int64(tt.size/2)), iotest.ErrReader(io.ErrUnexpectedEOF))
			}
			length := int64(-1)
			if tt.known {
				length = int64(tt.size)
			}
			b, err := readSegments(r, length, held)
			is.True(errors.Is(err, tt.err))
			now, _ := a.Used()
			is.True(now <= room)
			if tt.err != nil {
				return
			}
			is.Equal(b.size, int64(tt.size))
			is.True(now <= tt.most)
			is.Equal(b.digest(), sha256.Sum256(content))
			for range 2 {
				sent, err := io.ReadAll(b.reader())
				is.NoErr(err)
				is.True(bytes.Equal(sent, content))
			}
			held.Close()
			now, _ = a.Used()
			is.Equal(now, int64(0))
		})
	}
}

// BenchmarkReadBody measures the bytes that are allocated for a body, and those held in the account.
func BenchmarkReadBody(b *testing.B) {
	for _, size := range []int{1 << 10, 1 << 20, 64 << 20} {
		for _, known := range []bool{true, false} {
			b.Run(fmt.Sprintf("%d bytes, length known %v", size, known), func(b *testing.B) {
				content := strings.Repeat("a", size)
				a := memory.NewAccount(1 << 30)
				length := int64(-1)
				if known {
					length = int64(size)
				}
				b.ReportAllocs()
				for b.Loop() {
					held := a.Open("")
					if _, err := readSegments(strings.NewReader(content), length, held); err != nil {
						b.Fatal(err)
					}
					held.Close()
				}
				_, peak := a.Used()
				b.ReportMetric(float64(peak)/float64(size), "held/byte")
			})
		}
	}
}
