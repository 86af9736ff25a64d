package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// StatusPath is the path at which an instance's admin address serves its Status
// as JSON, with the names of the Go fields.
const StatusPath = "/status"

// maxStatusBytes is the maximum size of an encoded status, in bytes.
const maxStatusBytes = 8 << 20

// ErrStatus reports that an instance's status can't be fetched or decoded.
var ErrStatus = errors.New("no status")

// Status describes one instance and its view of the fleet.
type Status struct {
	// Address is the instance's peer address.
	Address     string
	Incarnation uint64
	Zone        string
	Region      string
	// Version is the version of the program.
	Version string
	// UptimeSeconds is the time since the process started.
	UptimeSeconds float64
	// Revision is the revision in force on the instance; zero if there is none
	// yet.
	Revision uint64
	// Trusted reports whether the instance may rely on its revision: within the
	// last FreshnessTerm it was in contact with the store, or with the holders of
	// more than half of the shares, and it hasn't known a newer revision for
	// longer than that without bringing it into force. While Trusted is false,
	// the instance admits no requests.
	Trusted bool
	// Ready reports whether the instance accepts new requests.
	Ready   bool
	Leaving bool
	// StoreReachable reports whether the store answered recently.
	StoreReachable bool
	// Members are the instances that this one considers alive, including itself.
	Members []Member
	Shares  []Share
	// Shards is the number of shards that the instance is the exclusive
	// authority for.
	Shards      int
	Ejections   []Ejection
	Quarantines []Quarantine
}

// Member is one instance of the fleet as the reporting instance sees it.
type Member struct {
	Address     string
	Incarnation uint64
	Zone        string
	Region      string
	Leaving     bool
	// Revision is the revision that was in force there by its latest message.
	Revision uint64
}

// Share is one share of the fleet's admission rights that the instance holds.
type Share struct {
	Number   int
	Sequence uint64
	// Usable reports whether the share's lease is valid now.
	Usable bool
}

// Ejection is a configured target that currently receives no requests.
type Ejection struct {
	Service string
	Target  string
	// Reason says why, including the measurements that led to the ejection.
	Reason string
	// Authority is the instance that ejected the target for the fleet; empty if
	// only the reporting instance avoids it.
	Authority string
	// Seconds is the time since the target was ejected.
	Seconds float64
}

// Quarantine is a request that is refused because it crashed targets.
type Quarantine struct {
	// Fingerprint identifies the request, in hexadecimal.
	Fingerprint  string
	Organisation string
	Route        string
	Strikes      int
	// SecondsLeft is the time until the request is admitted again.
	SecondsLeft float64
}

// FetchStatus fetches the status of the instance whose admin address is
// address, "IP:port". It takes at most timeout. Errors wrap ErrStatus.
func FetchStatus(ctx context.Context, address string, timeout time.Duration) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+StatusPath, nil)
	if err != nil {
		return Status{}, errors.Wrapf(ErrStatus, "%s: %v", address, err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return Status{}, errors.Wrapf(ErrStatus, "%s: %v", address, err)
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxStatusBytes))
	if err != nil {
		return Status{}, errors.Wrapf(ErrStatus, "%s: %v", address, err)
	}
	if answer.StatusCode != http.StatusOK {
		return Status{}, errors.Wrapf(ErrStatus, "%s: HTTP status %d", address, answer.StatusCode)
	}
	var s Status
	if err := json.Unmarshal(content, &s); err != nil {
		return Status{}, errors.Wrapf(ErrStatus, "%s: %v", address, err)
	}
	return s, nil
}
