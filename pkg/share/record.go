package share

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/store"
)

// Keys in the store.
const (
	// RecordPrefix begins the keys of the shares' records in the store.
	RecordPrefix = "share/"
	holderPrefix = "holder/"
	totalKey     = RecordPrefix + "total"
)

// ErrInvalidRecord says that a value in the store isn't a share record.
var ErrInvalidRecord = errors.New("not a share record")

// Record is what the store says of one share. It stays when its holder is gone.
type Record struct {
	Holder      instance.Address
	Incarnation uint64
	Sequence    uint64
	// Lease is the platform lease under which the holder wrote it.
	Lease int64
}

// Totals is the store's word on the number of shares.
type Totals struct {
	Total int
}

// ID returns the run that the record names.
func (r Record) ID() instance.ID {
	return instance.ID{
		Address:     r.Holder,
		Incarnation: r.Incarnation,
	}
}

// HolderKey returns the key that is in the store for as long as the platform
// lease that the record names. A lapsed lease never comes back, nor does the
// key.
func (r Record) HolderKey() string {
	return fmt.Sprintf("%s%s/%d/%d", holderPrefix, r.Holder, r.Incarnation, r.Lease)
}

// RecordKey returns the key of a share's record.
func RecordKey(n Number) string {
	return fmt.Sprintf("%s%02d", RecordPrefix, n)
}

// EncodeRecord returns the record's form in the store.
func EncodeRecord(r Record) []byte {
	return encode(r)
}

// DecodeRecord reads a record. Errors wrap ErrInvalidRecord.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrapf(ErrInvalidRecord, "decode: %v", err)
	}
	if r.Sequence == 0 || r.Holder == "" {
		return Record{}, errors.Wrap(ErrInvalidRecord, "no holder or Sequence")
	}
	return r, nil
}

// encode marshals plain structs of strings and numbers, which can't fail.
func encode(v any) []byte {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return value
}

// recordNumber returns the share whose record an entry is.
func recordNumber(e store.Entry) (Number, bool) {
	n, err := strconv.ParseUint(strings.TrimPrefix(e.Key, RecordPrefix), 10, 16)
	if err != nil || !strings.HasPrefix(e.Key, RecordPrefix) {
		return 0, false
	}
	return Number(n), true
}
