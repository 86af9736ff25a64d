package etcd

// The messages of the protocol's JSON format that the fleet uses. The tags hold
// the protocol's field names. In JSON, 64-bit numbers are strings and bytes are
// base64.

// Header is part of each response.
type Header struct {
	// Revision is the store's counter, which each write raises.
	Revision int64 `json:"revision,omitempty,string"`
}

// KeyValue is one key with its value and versions.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,omitempty,string"`
	ModRevision    int64  `json:"mod_revision,omitempty,string"`
	Version        int64  `json:"version,omitempty,string"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,omitempty,string"`
}

// RangeRequest reads the key Key, or the keys from Key up to but not including
// RangeEnd.
type RangeRequest struct {
	Key       []byte `json:"key,omitempty"`
	RangeEnd  []byte `json:"range_end,omitempty"`
	Limit     int64  `json:"limit,omitempty,string"`
	Revision  int64  `json:"revision,omitempty,string"`
	CountOnly bool   `json:"count_only,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header *Header    `json:"header,omitempty"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,omitempty,string"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,omitempty,string"`
}

// PutResponse answers a PutRequest.
type PutResponse struct {
	Header *Header `json:"header,omitempty"`
}

// DeleteRangeRequest deletes a key or a range of keys.
type DeleteRangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// DeleteRangeResponse answers a DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  *Header `json:"header,omitempty"`
	Deleted int64   `json:"deleted,omitempty,string"`
}

// Compare is a condition of a transaction. The fleet only compares the
// modification revision for equality.
type Compare struct {
	Result      string `json:"result,omitempty"`
	Target      string `json:"target,omitempty"`
	Key         []byte `json:"key,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
}

// Values of Compare.Target and Compare.Result.
const (
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
)

// RequestOp is one step of a transaction: exactly one field is set.
type RequestOp struct {
	RequestRange       *RangeRequest       `json:"request_range,omitempty"`
	RequestPut         *PutRequest         `json:"request_put,omitempty"`
	RequestDeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// ResponseOp answers a RequestOp.
type ResponseOp struct {
	ResponseRange       *RangeResponse       `json:"response_range,omitempty"`
	ResponsePut         *PutResponse         `json:"response_put,omitempty"`
	ResponseDeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// TxnRequest executes Success if all conditions in Compare hold, and Failure
// otherwise.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    *Header      `json:"header,omitempty"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// LeaseGrantRequest creates a lease of TTL seconds.
type LeaseGrantRequest struct {
	TTL int64 `json:"TTL,omitempty,string"`
	ID  int64 `json:"ID,omitempty,string"`
}

// LeaseGrantResponse answers a LeaseGrantRequest.
type LeaseGrantResponse struct {
	Header *Header `json:"header,omitempty"`
	ID     int64   `json:"ID,omitempty,string"`
	TTL    int64   `json:"TTL,omitempty,string"`
	Error  string  `json:"error,omitempty"`
}

// LeaseRequest renews or revokes a lease.
type LeaseRequest struct {
	ID int64 `json:"ID,omitempty,string"`
}

// LeaseKeepAliveResponse answers a renewal. TTL is zero for a lapsed lease.
type LeaseKeepAliveResponse struct {
	Header *Header `json:"header,omitempty"`
	ID     int64   `json:"ID,omitempty,string"`
	TTL    int64   `json:"TTL,omitempty,string"`
}

// LeaseKeepAliveFrame is one message of the response to a renewal.
type LeaseKeepAliveFrame struct {
	Result *LeaseKeepAliveResponse `json:"result,omitempty"`
	Error  *ErrorResponse          `json:"error,omitempty"`
}

// LeaseRevokeResponse answers a revocation.
type LeaseRevokeResponse struct {
	Header *Header `json:"header,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	CreateRequest *WatchCreateRequest `json:"create_request,omitempty"`
}

// WatchCreateRequest watches a key, or the keys from Key up to but not including
// RangeEnd, for changes from StartRevision on.
type WatchCreateRequest struct {
	Key           []byte `json:"key,omitempty"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,omitempty,string"`
}

// WatchResponse is the result in one message of a watch.
type WatchResponse struct {
	Header          *Header `json:"header,omitempty"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,omitempty,string"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchFrame is one message of the response to a watch.
type WatchFrame struct {
	Result *WatchResponse `json:"result,omitempty"`
	Error  *ErrorResponse `json:"error,omitempty"`
}

// Event is one change of a key.
type Event struct {
	// Type is empty or "PUT" for a write, and "DELETE" for a removal.
	Type string    `json:"type,omitempty"`
	Kv   *KeyValue `json:"kv,omitempty"`
}

// TypeDelete is the Type of the Event of a deleted key.
const TypeDelete = "DELETE"

// ErrorResponse describes an error: the body of a response with a status other
// than 200, or the Error of a frame.
type ErrorResponse struct {
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

// Values of ErrorResponse.Code, which are gRPC status codes.
const (
	CodeInvalidArgument  = 3
	CodeNotFound         = 5
	CodePermissionDenied = 7
	CodeOutOfRange       = 11
	CodeUnimplemented    = 12
	CodeUnavailable      = 14
	CodeUnauthenticated  = 16
)

// The paths of the protocol.
const (
	PathRange          = "/v3/kv/range"
	PathPut            = "/v3/kv/put"
	PathDeleteRange    = "/v3/kv/deleterange"
	PathTxn            = "/v3/kv/txn"
	PathLeaseGrant     = "/v3/lease/grant"
	PathLeaseKeepAlive = "/v3/lease/keepalive"
	PathLeaseRevoke    = "/v3/lease/revoke"
	PathWatch          = "/v3/watch"
)

// PrefixEnd returns the end of the range of all keys with a prefix: the first
// key after all of them, or a single zero byte, by which the protocol means the
// end of the key space.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
