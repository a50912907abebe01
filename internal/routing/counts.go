package routing

import "time"

// windowBuckets is the number of buckets in which a window is counted. A bucket that is only
// partly inside the window counts in full, so the bound holds for any span.
const windowBuckets = 10

// Bucket holds the counts of a part of the window.
type Bucket struct {
	// Age is the time since the end of that part, 0 if it has not ended.
	Age time.Duration
	Use
}

// slidingCounts counts requests and extra attempts in a sliding window.
type slidingCounts struct {
	// bucket is the number of the current bucket.
	bucket          int64
	requests, extra [windowBuckets + 1]int32
}

// bucketAt returns the number of the bucket that a time belongs to.
func bucketAt(at time.Time, span time.Duration) int64 {
	return int64(at.Sub(windowOrigin) / (span / windowBuckets))
}

// windowOrigin is the time from which buckets are numbered; it has a monotonic clock reading. It lies
// before all times that are counted, so that numbers are positive.
var windowOrigin = time.Now().Add(-time.Hour)

// advance moves to a bucket, clears the buckets in between and returns the index of the current one.
func (c *slidingCounts) advance(current int64) int {
	steps := min(current-c.bucket, windowBuckets+1)
	for k := int64(1); k <= steps; k++ {
		i := (c.bucket + k) % (windowBuckets + 1)
		c.requests[i], c.extra[i] = 0, 0
	}
	c.bucket = max(c.bucket, current)
	return int(c.bucket % (windowBuckets + 1))
}

// use returns the sum over all buckets.
func (c *slidingCounts) use() Use {
	var u Use
	for i := range c.requests {
		u.Requests += int(c.requests[i])
		u.Extra += int(c.extra[i])
	}
	return u
}

// add adds the counts of a bucket, which may be an earlier one than the current. Counts from before
// the window are left out.
func (c *slidingCounts) add(bucket int64, u Use) {
	if bucket < 0 || bucket < c.bucket-windowBuckets {
		return
	}
	i := min(bucket, c.bucket) % (windowBuckets + 1)
	c.requests[i] += int32(u.Requests)
	c.extra[i] += int32(u.Extra)
}

// observe raises the counts to what an entry reports for its whole window. What exceeds the counts here was
// added since the last report.
func (c *slidingCounts) observe(u Use) {
	known := c.use()
	c.add(c.bucket, Use{Requests: max(u.Requests-known.Requests, 0), Extra: max(u.Extra-known.Extra, 0)})
}

// observeFirst is observe for the first report of an entry. It does not tell when in the window the counts
// were made, so they count as spread evenly.
func (c *slidingCounts) observeFirst(u Use) {
	c.add(c.bucket, Use{Extra: u.Extra % windowBuckets})
	for k := range int64(windowBuckets) {
		c.add(c.bucket-k, Use{Requests: u.Requests / windowBuckets, Extra: u.Extra / windowBuckets})
	}
}

// history returns the buckets that are not empty, as of a time in the current bucket.
func (c *slidingCounts) history(now time.Time, span time.Duration) []Bucket {
	var out []Bucket
	for k := int64(0); k <= windowBuckets; k++ {
		i := ((c.bucket-k)%(windowBuckets+1) + windowBuckets + 1) % (windowBuckets + 1)
		if c.requests[i] == 0 && c.extra[i] == 0 {
			continue
		}
		end := windowOrigin.Add(time.Duration(c.bucket-k+1) * (span / windowBuckets))
		out = append(out, Bucket{Age: max(now.Sub(end), 0), Use: Use{Requests: int(c.requests[i]), Extra: int(c.extra[i])}})
	}
	return out
}
