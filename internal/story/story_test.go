package story_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"dandelionmux/internal/story"
)

const log = `a | time=2026-03-03T04:42:13.500Z level=INFO msg="target seen" Service=desk Target=desk-1 Outcome=crashed
not a line of ours
time=2026-03-03T04:42:20.100Z level=INFO msg=placed Request=r1 Organisation="" Target=desk-1 Attempt=1
time=2026-03-03T04:42:20.300Z level=INFO msg=refused Request=r1 Reason="target \"died\"" Status=502
time=2026-03-03T04:42:20.200Z level=INFO msg=strike Request=r1 Target=desk-1
time=2026-03-03T04:42:20.150Z level=INFO msg=placed Request=r2 Target=desk-1 Attempt=1
time=2026-03-03T04:40:00.000Z level=INFO msg="target seen" Target=desk-1 Outcome=failed
time=2026-03-03T04:42:19.000Z level=INFO msg="target seen" Target=desk-2 Outcome=failed
`

// Of the lines of two requests and two targets, only those of the request and the
// recent ones of its target are returned, in the order of their times.
func TestLinesForRequest(t *testing.T) {
	is := is.New(t)
	lines, err := story.Read(strings.NewReader(log))
	is.NoErr(err)
	is.Equal(len(lines), 7)
	var messages []string
	for _, l := range story.ForRequest("r1", lines) {
		messages = append(messages, l.Message)
	}
	is.Equal(messages, []string{"target seen", "placed", "strike", "refused"})
	is.Equal(story.ForRequest("r1", lines)[3].Fields["Reason"], `target "died"`)
	is.Equal(story.ForRequest("r1", lines)[1].Fields["Organisation"], "")
	is.Equal(len(story.ForRequest("r9", lines)), 0)
}
