package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"dandelionmux/internal/etcd"
)

// protocolError is an error response of the protocol.
type protocolError struct {
	status  int
	code    int
	message string
}

func leaseNotFound() *protocolError {
	return &protocolError{
		status:  http.StatusNotFound,
		code:    etcd.CodeNotFound,
		message: "etcdserver: requested lease not found",
	}
}

func invalidArgument(message string) *protocolError {
	return &protocolError{
		status:  http.StatusBadRequest,
		code:    etcd.CodeInvalidArgument,
		message: message,
	}
}

func (s *Store) registerHandlers() {
	handle(s, etcd.PathRange, false, s.rangeKeys)
	handle(s, etcd.PathPut, true, s.putKey)
	handle(s, etcd.PathDeleteRange, true, s.deleteRange)
	handle(s, etcd.PathTxn, true, s.transact)
	handle(s, etcd.PathLeaseGrant, true, s.grantLease)
	handle(s, etcd.PathLeaseKeepAlive, true, s.renewLease)
	handle(s, etcd.PathLeaseRevoke, true, s.revokeLease)
	s.mux.HandleFunc("POST "+etcd.PathWatch, s.watch)
}

// handle registers a handler for the calls of one path. It counts the call,
// applies the faults, executes the effect under the lock, and answers.
func handle[Q, A any](s *Store, path string, writes bool, effect func(*Q) (A, *protocolError)) {
	s.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		s.countCall(path)
		var request Q
		if err := decodeCall(r, &request); err != nil {
			writeProtocolError(w, invalidArgument(err.Error()))
			return
		}
		if !s.applyFaults(w, r) {
			return
		}
		s.mu.Lock()
		s.expireLeases()
		answer, failure := effect(&request)
		lost := s.loseAnswer(writes)
		s.mu.Unlock()
		if lost {
			panic(http.ErrAbortHandler)
		}
		if failure != nil {
			writeProtocolError(w, failure)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	})
}

func decodeCall(r *http.Request, request any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(body, request)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func writeProtocolError(w http.ResponseWriter, e *protocolError) {
	writeJSON(w, e.status, etcd.ErrorResponse{
		Code:    e.code,
		Message: e.message,
	})
}

func (s *Store) countCall(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[path]++
}

// applyFaults applies the faults that precede a call's effect. It returns false
// if the call has been answered or its caller is gone.
func (s *Store) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	s.waitWhileFrozen()
	f := s.Faults()
	if f.Outage {
		panic(http.ErrAbortHandler)
	}
	if f.Slow > 0 && !wait(r.Context(), f.Slow) {
		return false
	}
	if f.Refuse {
		writeProtocolError(w, &protocolError{
			status:  http.StatusServiceUnavailable,
			code:    etcd.CodeUnavailable,
			message: "etcdserver: no leader",
		})
		return false
	}
	return true
}

// waitWhileFrozen waits until the store isn't frozen, even if the caller is
// gone.
func (s *Store) waitWhileFrozen() {
	for {
		s.mu.Lock()
		frozen, changed := s.faults.Frozen, s.changed
		s.mu.Unlock()
		if !frozen {
			return
		}
		<-changed
	}
}

// loseAnswer reports whether this call's answer is lost, and if so decrements
// the number of answers to lose.
func (s *Store) loseAnswer(writes bool) bool {
	if s.faults.LoseAnswers == 0 || (s.faults.LoseWrites && !writes) {
		return false
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
	}
	return true
}

// wait waits for d. It returns false if the context ended first.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Store) header() *etcd.Header {
	return &etcd.Header{
		Revision: s.revision,
	}
}

func (s *Store) rangeKeys(r *etcd.RangeRequest) (etcd.RangeResponse, *protocolError) {
	keys := s.keysBetween(string(r.Key), string(r.RangeEnd))
	response := etcd.RangeResponse{
		Header: s.header(),
		Count:  int64(len(keys)),
	}
	if r.CountOnly {
		return response, nil
	}
	for _, k := range keys {
		if r.Limit > 0 && int64(len(response.Kvs)) == r.Limit {
			response.More = true
			break
		}
		response.Kvs = append(response.Kvs, s.keys[k])
	}
	return response, nil
}

func (s *Store) checkPut(r *etcd.PutRequest) *protocolError {
	if len(r.Key) == 0 {
		return invalidArgument("etcdserver: key is not provided")
	}
	if len(r.Value) > maxValueBytes {
		return invalidArgument("etcdserver: request is too large")
	}
	if r.Lease != 0 && s.leases[r.Lease] == nil {
		return leaseNotFound()
	}
	return nil
}

func (s *Store) putKey(r *etcd.PutRequest) (etcd.PutResponse, *protocolError) {
	if failure := s.checkPut(r); failure != nil {
		return etcd.PutResponse{}, failure
	}
	s.revision++
	s.put(r)
	return etcd.PutResponse{
		Header: s.header(),
	}, nil
}

func (s *Store) deleteRange(r *etcd.DeleteRangeRequest) (etcd.DeleteRangeResponse, *protocolError) {
	keys := s.keysBetween(string(r.Key), string(r.RangeEnd))
	if len(keys) > 0 {
		s.revision++
	}
	for _, k := range keys {
		s.delete(k)
	}
	return etcd.DeleteRangeResponse{
		Header:  s.header(),
		Deleted: int64(len(keys)),
	}, nil
}

// transact executes a transaction: all steps or none, at one revision.
func (s *Store) transact(r *etcd.TxnRequest) (etcd.TxnResponse, *protocolError) {
	succeeded := true
	for _, c := range r.Compare {
		if c.Target != etcd.TargetMod || c.Result != etcd.ResultEqual {
			return etcd.TxnResponse{}, invalidArgument("only MOD EQUAL is supported")
		}
		succeeded = succeeded && s.keys[string(c.Key)].ModRevision == c.ModRevision
	}
	steps := r.Success
	if !succeeded {
		steps = r.Failure
	}
	if failure := s.checkSteps(steps); failure != nil {
		return etcd.TxnResponse{}, failure
	}
	response := etcd.TxnResponse{
		Succeeded: succeeded,
	}
	for _, step := range steps {
		response.Responses = append(response.Responses, s.executeStep(step))
	}
	response.Header = s.header()
	return response, nil
}

// checkSteps checks a transaction before its first effect. It rejects several
// writes, because here each would raise the revision.
func (s *Store) checkSteps(steps []etcd.RequestOp) *protocolError {
	writes := 0
	for _, step := range steps {
		if step.RequestRange == nil {
			writes++
		}
		if step.RequestPut == nil {
			continue
		}
		if failure := s.checkPut(step.RequestPut); failure != nil {
			return failure
		}
	}
	if writes > 1 {
		return invalidArgument("only one write is supported")
	}
	return nil
}

func (s *Store) executeStep(step etcd.RequestOp) etcd.ResponseOp {
	switch {
	case step.RequestPut != nil:
		response, _ := s.putKey(step.RequestPut)
		return etcd.ResponseOp{
			ResponsePut: &response,
		}
	case step.RequestDeleteRange != nil:
		response, _ := s.deleteRange(step.RequestDeleteRange)
		return etcd.ResponseOp{
			ResponseDeleteRange: &response,
		}
	case step.RequestRange != nil:
		response, _ := s.rangeKeys(step.RequestRange)
		return etcd.ResponseOp{
			ResponseRange: &response,
		}
	}
	return etcd.ResponseOp{}
}

func (s *Store) grantLease(r *etcd.LeaseGrantRequest) (etcd.LeaseGrantResponse, *protocolError) {
	ttl := max(r.TTL, minLeaseTTLSeconds)
	s.nextID++
	s.leases[s.nextID] = &lease{
		ttl:     time.Duration(ttl) * time.Second,
		expires: s.clock() + time.Duration(ttl)*time.Second,
	}
	return etcd.LeaseGrantResponse{
		Header: s.header(),
		ID:     s.nextID,
		TTL:    ttl,
	}, nil
}

func (s *Store) renewLease(r *etcd.LeaseRequest) (etcd.LeaseKeepAliveFrame, *protocolError) {
	response := &etcd.LeaseKeepAliveResponse{
		Header: s.header(),
		ID:     r.ID,
	}
	if l := s.leases[r.ID]; l != nil {
		l.expires = s.clock() + l.ttl
		response.TTL = int64(l.ttl / time.Second)
	}
	return etcd.LeaseKeepAliveFrame{
		Result: response,
	}, nil
}

func (s *Store) revokeLease(r *etcd.LeaseRequest) (etcd.LeaseRevokeResponse, *protocolError) {
	if s.leases[r.ID] == nil {
		return etcd.LeaseRevokeResponse{}, leaseNotFound()
	}
	s.dropLease(r.ID)
	return etcd.LeaseRevokeResponse{
		Header: s.header(),
	}, nil
}
