package standin

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"dandelionmux/internal/etcd"
)

// watch streams changes until the caller disconnects or a fault ends it.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	s.countCall(etcd.PathWatch)
	var request etcd.WatchRequest
	if err := decodeCall(r, &request); err != nil || request.CreateRequest == nil {
		writeProtocolError(w, invalidArgument("no create_request"))
		return
	}
	if !s.applyFaults(w, r) {
		return
	}
	s.addWatches(1)
	defer s.addWatches(-1)
	next := s.openWatch(w, request.CreateRequest)
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		s.expireLeases()
		response := s.nextChanges(request.CreateRequest, &next)
		changed, faults := s.changed, s.faults
		s.mu.Unlock()
		if faults.Outage {
			panic(http.ErrAbortHandler)
		}
		if response != nil && !faults.Frozen {
			s.sendFrame(w, response)
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// openWatch confirms the watch and returns the first revision to report.
func (s *Store) openWatch(w http.ResponseWriter, r *etcd.WatchCreateRequest) int64 {
	s.mu.Lock()
	header := s.header()
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	s.sendFrame(w, &etcd.WatchResponse{
		Header:  header,
		Created: true,
	})
	if r.StartRevision == 0 {
		return header.Revision + 1
	}
	return r.StartRevision
}

// nextChanges returns the events from the revision next on, or nil if there are
// none, and advances next. While the store is frozen it returns nil and leaves
// next.
func (s *Store) nextChanges(r *etcd.WatchCreateRequest, next *int64) *etcd.WatchResponse {
	if s.faults.Frozen {
		return nil
	}
	if *next <= s.compacted {
		*next = s.revision + 1
		return &etcd.WatchResponse{
			Header:          s.header(),
			Canceled:        true,
			CompactRevision: s.compacted,
		}
	}
	if *next > s.revision {
		return nil
	}
	begin, _ := slices.BinarySearchFunc(s.history, *next, func(e event, revision int64) int {
		return cmp.Compare(e.revision, revision)
	})
	var events []etcd.Event
	for _, e := range s.history[begin:] {
		if inRange(string(e.event.Kv.Key), string(r.Key), string(r.RangeEnd)) {
			events = append(events, e.event)
		}
	}
	*next = s.revision + 1
	if len(events) == 0 {
		return nil
	}
	return &etcd.WatchResponse{
		Header: s.header(),
		Events: events,
	}
}

func (*Store) sendFrame(w http.ResponseWriter, response *etcd.WatchResponse) {
	_ = json.NewEncoder(w).Encode(etcd.WatchFrame{
		Result: response,
	})
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

func (s *Store) addWatches(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches += change
}
