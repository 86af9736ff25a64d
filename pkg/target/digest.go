package target

import (
	"math"
	"time"
)

const (
	// BucketCount is the number of latency buckets of a Digest.
	BucketCount = 80
	// leastBucket is the upper edge of the first bucket.
	leastBucket = 100 * time.Microsecond
	// bucketsPerDoubling sets the width of a bucket.
	bucketsPerDoubling = 4
)

// Histogram is a histogram of latencies. Bucket 0 ends at 100 µs, and each next one
// at 2^(1/4) times the edge before, up to 90 s.
type Histogram struct {
	Counts [BucketCount]uint32
	Total  uint32
}

// BucketIndex returns the index of the bucket that a latency falls into.
func BucketIndex(latency time.Duration) int {
	if latency <= leastBucket {
		return 0
	}
	n := math.Ceil(math.Log2(float64(latency)/float64(leastBucket)) * bucketsPerDoubling)
	return min(int(n), BucketCount-1)
}

// Add counts one latency.
func (d *Histogram) Add(latency time.Duration) {
	d.AddCount(BucketIndex(latency), 1)
}

// AddCount counts n latencies of a bucket.
func (d *Histogram) AddCount(bucket int, n uint32) {
	d.Counts[bucket] += n
	d.Total += n
}

// Merge adds another digest's counts.
func (d *Histogram) Merge(other *Histogram) {
	if other.Total == 0 {
		return
	}
	for i, n := range other.Counts {
		d.Counts[i] += n
	}
	d.Total += other.Total
}
