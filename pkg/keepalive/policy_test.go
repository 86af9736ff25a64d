package keepalive_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/keepalive"
)

const now = time.Minute

func TestWhichRequestsMayReuseAConnection(t *testing.T) {
	tests := []struct {
		name    string
		request keepalive.Request
		want    bool
	}{
		{
			name: "repeatable",
			request: keepalive.Request{
				Repeatable: true,
			},
			want: true,
		},
		{
			name:    "a write, which would be lost on a dropped connection",
			request: keepalive.Request{},
			want:    false,
		},
		{
			name: "retry, which could meet a second dropped connection",
			request: keepalive.Request{
				Repeatable: true,
				Retry:      true,
			},
			want: false,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var p keepalive.Policy
			is.Equal(p.MayReuse(now, tt.request), tt.want)
		})
	}
}

// Guards against the retry budget being used up by one dropped connection after another.
func TestDroppedConnectionPausesReuse(t *testing.T) {
	is := is.New(t)
	read := keepalive.Request{
		Repeatable: true,
	}
	var p keepalive.Policy
	is.True(p.RecordDeath(now, time.Millisecond))
	is.True(!p.MayReuse(now+9*time.Second, read))
	is.True(p.MayReuse(now+10*time.Second, read))
}

// Guards against a target that fails while it works on requests going unnoticed.
func TestLateDeathIsNotADroppedConnection(t *testing.T) {
	is := is.New(t)
	var p keepalive.Policy
	is.True(!p.RecordDeath(now, 300*time.Millisecond))
	is.True(p.MayReuse(now, keepalive.Request{
		Repeatable: true,
	}))
}
