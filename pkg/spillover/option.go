package spillover

// Option configures Decide.
type Option func(*options)

type options struct {
	draw float64
}

func newOptions(list []Option) options {
	o := options{
		draw: -1,
	}
	for _, set := range list {
		set(&o)
	}
	return o
}

// WithDraw sets a random number from 0 to 1, by which one of several equal zones is chosen. Without
// it, the one with the most free slots is chosen, which all allocators choose at the same time.
func WithDraw(draw float64) Option {
	return func(o *options) { o.draw = draw }
}
