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
	// RecordPrefix is the prefix of the keys of the share records.
	RecordPrefix = "share/"
	holderPrefix = "holder/"
	totalKey     = RecordPrefix + "total"
)

// ErrInvalidRecord is returned for a value that isn't a share record.
var ErrInvalidRecord = errors.New("not a share record")

// Record is the stored state of one share. It stays in the store when its
// holder is gone.
type Record struct {
	Holder      instance.Address
	Incarnation uint64
	Sequence    uint64
	// Lease is the platform lease under which the holder wrote the record.
	Lease int64
}

// Totals is the stored total number of shares, by which instances with another
// setting notice the difference.
type Totals struct {
	Total int
}

// ID returns the instance run that the record names.
func (r Record) ID() instance.ID {
	return instance.ID{
		Address:     r.Holder,
		Incarnation: r.Incarnation,
	}
}

// HolderKey returns the key that is in the store for as long as the platform
// lease that the record names. A lease that has ended never becomes live again,
// so the key doesn't come back.
func (r Record) HolderKey() string {
	return fmt.Sprintf("%s%s/%d/%d", holderPrefix, r.Holder, r.Incarnation, r.Lease)
}

// RecordKey returns the key of a share's record.
func RecordKey(n Number) string {
	return fmt.Sprintf("%s%02d", RecordPrefix, n)
}

// EncodeRecord returns the stored form of a record.
func EncodeRecord(r Record) []byte {
	return encode(r)
}

// DecodeRecord decodes a stored record. Errors wrap ErrInvalidRecord.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrapf(ErrInvalidRecord, "decode: %v", err)
	}
	if r.Sequence == 0 || r.Holder == "" {
		return Record{}, errors.Wrapf(ErrInvalidRecord, "no holder or Sequence: holder %q, Sequence %d", r.Holder, r.Sequence)
	}
	return r, nil
}

// encode returns v as JSON. It is for plain structs of strings and numbers,
// which can always be encoded.
func encode(v any) []byte {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return value
}

// recordNumber returns the share that a store entry is the record of, and false
// if the entry isn't a share record.
func recordNumber(e store.Entry) (Number, bool) {
	n, err := strconv.ParseUint(strings.TrimPrefix(e.Key, RecordPrefix), 10, 16)
	if err != nil || !strings.HasPrefix(e.Key, RecordPrefix) {
		return 0, false
	}
	return Number(n), true
}
