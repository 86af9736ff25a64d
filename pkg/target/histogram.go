package target

import (
	"math"
	"time"
)

const (
	// BucketCount is the number of latency buckets of a Histogram.
	BucketCount = 80
	// firstBucketEdge is the upper edge of the first bucket.
	firstBucketEdge = 100 * time.Microsecond
	// bucketsPerDoubling is the number of buckets in which latency doubles.
	bucketsPerDoubling = 4
)

// Histogram counts latencies in logarithmic buckets. Bucket 0 ends at 100 µs, and
// each further bucket at 2^(1/4) times the edge before it; the last one has no upper
// edge and begins at 74 s.
type Histogram struct {
	Counts [BucketCount]uint32
	Total  uint32
}

// BucketIndex returns the index of the bucket that contains a latency.
func BucketIndex(latency time.Duration) int {
	if latency <= firstBucketEdge {
		return 0
	}
	n := math.Ceil(math.Log2(float64(latency)/float64(firstBucketEdge)) * bucketsPerDoubling)
	return min(int(n), BucketCount-1)
}

// Add counts one latency.
func (h *Histogram) Add(latency time.Duration) {
	h.AddCount(BucketIndex(latency), 1)
}

// AddCount adds n latencies to a bucket, which must be less than BucketCount.
func (h *Histogram) AddCount(bucket int, n uint32) {
	h.Counts[bucket] += n
	h.Total += n
}

// Merge adds the counts of another histogram.
func (h *Histogram) Merge(other *Histogram) {
	if other.Total == 0 {
		return
	}
	for i, n := range other.Counts {
		h.Counts[i] += n
	}
	h.Total += other.Total
}
