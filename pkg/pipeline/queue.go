package pipeline

// Kind tells which other requests a request may run beside.
type Kind int

const (
	// Exclusive requests run alone on their connection.
	Exclusive Kind = iota
	// Independent requests run beside others of this kind.
	Independent
)

// ID numbers the requests of a connection in the order of their receipt, from 1.
type ID int

// Queue holds the requests in progress on one connection. It is not safe for concurrent
// use.
type Queue struct {
	places *Places
	limit  int
	// requests are those received and not ended. All but the last have been started.
	requests []request
	received ID
	sealed   bool
}

type request struct {
	id      ID
	kind    Kind
	started bool
	// placed is set while the request holds one of places.
	placed bool
	// ready is set once the request's answer may be written in its turn.
	ready bool
}

// New returns the queue of a new connection, which has up to limit requests in progress.
func New(places *Places, limit int) *Queue {
	return &Queue{
		places: places,
		limit:  limit,
	}
}

// MayReceive reports whether the next request may be read. It may not while the last one
// is exclusive or hasn't been started.
func (q *Queue) MayReceive() bool {
	if q.sealed || len(q.requests) >= q.limit {
		return false
	}
	if len(q.requests) == 0 {
		return true
	}
	last := q.requests[len(q.requests)-1]
	return last.started && last.kind == Independent
}

// Receive adds a request. It must only be called if MayReceive.
func (q *Queue) Receive(kind Kind) ID {
	q.received++
	q.requests = append(q.requests, request{
		id:   q.received,
		kind: kind,
	})
	return q.received
}

// Start starts the next request if it may run now, and returns its number.
func (q *Queue) Start() (ID, bool) {
	last := len(q.requests) - 1
	if last < 0 || q.requests[last].started {
		return 0, false
	}
	r := &q.requests[last]
	if last > 0 {
		if r.kind != Independent || q.requests[last-1].kind != Independent || !q.places.take() {
			return 0, false
		}
		r.placed = true
	}
	r.started = true
	return r.id, true
}

// Head returns the request whose answer may be written; zero if there is none.
func (q *Queue) Head() ID {
	if len(q.requests) == 0 {
		return 0
	}
	return q.requests[0].id
}

// SetReady records that the answer to a request in progress is ready.
func (q *Queue) SetReady(id ID) {
	for i := range q.requests {
		if q.requests[i].id == id {
			q.requests[i].ready = true
		}
	}
}

// Blocking returns the requests whose answers aren't ready although one behind them is.
func (q *Queue) Blocking() []ID {
	var blocking, unready []ID
	for _, r := range q.requests {
		if r.ready {
			blocking = append(blocking, unready...)
			unready = nil
		} else {
			unready = append(unready, r.id)
		}
	}
	return blocking
}

// End removes the head, whose answer has been written.
func (q *Queue) End() {
	q.requests = q.requests[1:]
	if len(q.requests) > 0 && q.requests[0].placed {
		q.requests[0].placed = false
		q.places.release()
	}
}

// Len returns the number of requests in progress.
func (q *Queue) Len() int { return len(q.requests) }

// Seal ends the receipt of requests. Those received still run.
func (q *Queue) Seal() { q.sealed = true }

// Sealed reports whether no more requests are received.
func (q *Queue) Sealed() bool { return q.sealed }

// Drop ends the receipt of requests, too, and drops a request that hasn't been started. It
// reports whether there was one.
func (q *Queue) Drop() bool {
	q.Seal()
	last := len(q.requests) - 1
	if last < 0 || q.requests[last].started {
		return false
	}
	q.requests = q.requests[:last]
	return true
}

// Last reports whether the connection closes after the head's answer.
func (q *Queue) Last() bool { return q.sealed && len(q.requests) == 1 }
