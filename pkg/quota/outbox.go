package quota

import (
	"dandelionmux/pkg/instance"
)

// outbox collects what one call of Handle sends, so that everything for one
// peer goes into one message.
type outbox struct {
	effects []Effect
	answers []addressedAnswer
	relays  []addressedAsk
}

type addressedAnswer struct {
	route  answerRoute
	answer *Answer
}

type addressedAsk struct {
	to  instance.Address
	ask *Ask
}

func (o *outbox) send(to instance.Address, m Message) {
	o.effects = append(o.effects, Send{
		To:      to,
		Message: m,
	})
}

// answer returns the answer for a route, and starts it if there is none.
func (o *outbox) answer(route answerRoute) *Answer {
	for _, a := range o.answers {
		if a.route == route {
			return a.answer
		}
	}
	a := &Answer{
		Holder: route.holder,
	}
	o.answers = append(o.answers, addressedAnswer{
		route:  route,
		answer: a,
	})
	return a
}

// relay returns the ask that is passed on for a holder, and starts it if there
// is none.
func (o *outbox) relay(to instance.Address, holder instance.ID) *Ask {
	for _, a := range o.relays {
		if a.to == to && a.ask.Holder == holder {
			return a.ask
		}
	}
	ask := &Ask{
		Holder:      holder,
		Coordinator: to,
	}
	o.relays = append(o.relays, addressedAsk{
		to:  to,
		ask: ask,
	})
	return ask
}

func (o *outbox) flush() []Effect {
	effects := o.effects
	for _, a := range o.answers {
		effects = append(effects, Send{
			To:      a.route.to,
			Message: *a.answer,
		})
	}
	for _, a := range o.relays {
		effects = append(effects, Send{
			To:      a.to,
			Message: *a.ask,
		})
	}
	*o = outbox{}
	return effects
}
