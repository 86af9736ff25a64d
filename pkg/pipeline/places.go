package pipeline

import "sync/atomic"

// Places bounds the requests that run ahead of earlier answers, over many queues. It is safe
// for concurrent use.
type Places struct {
	limit int64
	taken atomic.Int64
}

// NewPlaces returns a bound of limit requests.
func NewPlaces(limit int) *Places {
	return &Places{
		limit: int64(limit),
	}
}

// Taken returns the number of requests that run ahead.
func (p *Places) Taken() int { return int(p.taken.Load()) }

// take takes a place and reports whether there was one.
func (p *Places) take() bool {
	if p.taken.Add(1) > p.limit {
		p.taken.Add(-1)
		return false
	}
	return true
}

func (p *Places) release() { p.taken.Add(-1) }
