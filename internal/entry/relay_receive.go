package entry

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// UnreachableReason is the reason of refusals because no target of the service can be
// connected to.
const UnreachableReason = "service-unreachable"

// MaxRelayedRequests limits the requests of other instances in progress. They are also
// refused while the instance has half of its maximum of requests in progress, so that they
// take no room from its own callers.
const MaxRelayedRequests = 256

// relayedRequest is what another instance says about a request that it sends here.
type relayedRequest struct {
	requestID string
	// revision is the oldest revision of the document by which the request may be
	// served.
	revision uint64
	// sentAttempts is the number of attempts that count as sent, and share how many this
	// instance may add. Earlier builds tell no share: what the route allows is left.
	sentAttempts int
	share        int
	// earlierAttempts is the number of attempts that have been sent, and sentTargets are
	// the names of their targets as far as known.
	earlierAttempts int
	sentTargets     []string
	// counted is set if the other instance has counted the request for the retry budget.
	counted bool
}

// IsRelayed reports whether a request at an instance's port for other instances comes from
// a caller of one of these.
func IsRelayed(r *http.Request) bool { return r.Header.Get(relayHeader) != "" }

// ServeRelayed serves a request that another instance sends for one of its callers. It does
// so as for a caller of its own, but the cost has been taken from the organisation's rate
// already, and the request isn't sent through a third instance.
func (h *Handler) ServeRelayed(w http.ResponseWriter, r *http.Request) {
	running := h.running.Add(1)
	defer h.running.Add(-1)
	relayed := h.relayed.Add(1)
	defer h.relayed.Add(-1)
	x := h.newRelayedExchange(w, r)
	if x == nil {
		return
	}
	x.logRelayed()
	switch {
	case x.snapshot.Leaving:
		x.refuse(declinedRelay("leaving"))
	case relayed > MaxRelayedRequests, running > h.maxRequests/2:
		x.refuse(declinedRelay("instance-full"))
	default:
		if err := x.serve(); err != nil {
			x.refuse(asRefusal(err))
		}
	}
}

// DeclineRelayed refuses a request of another instance that isn't known as a member of the
// fleet.
func (h *Handler) DeclineRelayed(w http.ResponseWriter, r *http.Request) {
	if x := h.newRelayedExchange(w, r); x != nil {
		x.refuse(declinedRelay("no-member"))
	}
}

// newRelayedExchange returns the exchange of a request that another instance has sent. If
// the request is malformed, it answers that and returns nil.
func (h *Handler) newRelayedExchange(w http.ResponseWriter, r *http.Request) *exchange {
	info, err := parseRelayedRequest(r.Header.Get(relayHeader))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	x := h.newExchange(w, r)
	x.relayed = &info
	x.id = info.requestID
	x.sentAttempts = info.sentAttempts
	x.sentTargets = info.sentTargets
	x.triedTargets = slices.Clone(info.sentTargets)
	x.counted = info.counted
	return x
}

// declinedRelay returns the refusal of a relayed request that another instance may serve.
func declinedRelay(reason string) *Refusal {
	return &Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     reason,
		RetryAfter: time.Second,
		Elsewhere:  true,
	}
}

// parseRelayedRequest decodes the value of relayHeader in a request.
func parseRelayedRequest(text string) (relayedRequest, error) {
	values, err := url.ParseQuery(text)
	if err != nil {
		return relayedRequest{}, errors.Wrap(err, "relayed request")
	}
	revision, err := strconv.ParseUint(values.Get(relayRevisionName), 10, 64)
	if err != nil {
		return relayedRequest{}, errors.Wrap(err, "relayed request")
	}
	sent, err := strconv.Atoi(values.Get(relaySentName))
	if err != nil {
		return relayedRequest{}, errors.Wrap(err, "relayed request")
	}
	r := relayedRequest{
		requestID:       values.Get(relayRequestName),
		revision:        revision,
		sentAttempts:    sent,
		earlierAttempts: sent,
		sentTargets:     values[relayTargetName],
		counted:         values.Get(relayCountedName) == "true",
	}
	if !values.Has(relayShareName) {
		return r, nil
	}
	if r.share, err = strconv.Atoi(values.Get(relayShareName)); err != nil {
		return relayedRequest{}, errors.Wrap(err, "relayed request")
	}
	if r.earlierAttempts, err = strconv.Atoi(values.Get(relayEarlierName)); err != nil {
		return relayedRequest{}, errors.Wrap(err, "relayed request")
	}
	return r, nil
}

// earlierAttempts returns how many attempts of the request have been sent, those of other
// instances included.
func (x *exchange) earlierAttempts() int {
	if x.relayed == nil {
		return x.sentAttempts
	}
	return x.relayed.earlierAttempts + x.sentAttempts - x.relayed.sentAttempts
}

// RelayedRequests returns the number of requests of other instances in progress.
func (h *Handler) RelayedRequests() int { return int(h.relayed.Load()) }

// addRelayResult adds to the answer of a relayed request what the other instance needs to
// know. elsewhere is set if another instance may serve the request; that doesn't hold if a
// target has refused it here, since one more attempt would be a retry.
func (x *exchange) addRelayResult(elsewhere bool) {
	if x.relayed == nil {
		return
	}
	revision := uint64(0)
	if x.snapshot.Index != nil {
		revision = x.snapshot.Index.Revision()
	}
	x.writer.Header().Set(relayHeader, url.Values{
		relayRequestName:   {x.id},
		relayRevisionName:  {strconv.FormatUint(revision, 10)},
		relaySentName:      {strconv.Itoa(x.sentAttempts)},
		relayTargetName:    x.sentTargets[len(x.relayed.sentTargets):],
		relayLeavingName:   {x.leavingTarget},
		relayElsewhereName: {strconv.FormatBool(elsewhere && x.sentAttempts == x.relayed.sentAttempts)},
	}.Encode())
}

// countAnswer counts a complete answer. A relayed one counts as answered where the caller
// is.
func (x *exchange) countAnswer(status int) {
	if x.relayed != nil {
		x.handler.metrics.count("Relay.Answered")
		return
	}
	x.handler.metrics.answered(status, time.Since(x.began))
}

// countRefusal counts a refusal.
func (x *exchange) countRefusal(r *Refusal) {
	if x.relayed != nil {
		x.handler.metrics.count("Relay.Refused." + r.Reason)
		return
	}
	x.handler.metrics.refused(r)
}
