package spillover

// defaultMinimumGain is the least gain that is worth the price, as a fraction of the objective.
const defaultMinimumGain = 0.1

// Option configures Decide.
type Option func(*options)

type options struct {
	minimumGain float64
	draw        float64
}

func newOptions(list []Option) options {
	o := options{
		minimumGain: defaultMinimumGain,
		draw:        -1,
	}
	for _, set := range list {
		set(&o)
	}
	return o
}

// WithMinimumGain sets the least gain that is worth the price of traffic between zones, as a fraction
// of the request's objective. The default is 0.1.
func WithMinimumGain(fraction float64) Option {
	return func(o *options) { o.minimumGain = fraction }
}

// WithDraw sets a random number from 0 to 1, by which one of several equal zones is chosen. Without
// it, the one with the most free slots is chosen, which all allocators choose at the same time.
func WithDraw(draw float64) Option {
	return func(o *options) { o.draw = draw }
}
