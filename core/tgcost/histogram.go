package tgcost

import "math"

const (
	bucketCount  = 64
	bucketGrowth = 1.2   // ratio of the values of successive buckets
	maxWeight    = 400.0 // weight at which a histogram is halved, so that it follows a change of the answers
	centreBucket = bucketCount / 2
)

// Histogram is a histogram with logarithmic buckets whose older observations fade. The zero value is empty.
type Histogram struct {
	Counts [bucketCount]float32 `cbor:"1,keyasint"` // weight of the observations, by bucket; none is negative
	// Origin is the bucket of the value 1: 0 for lengths, centreBucket for ratios.
	Origin int     `cbor:"2,keyasint"`
	Total  float64 `cbor:"3,keyasint"` // sum of Counts, at most maxWeight
}

// bucketValues has the value of each bucket for an origin of centreBucket; computing them for each event of a stream would
// take most of the time of an estimate.
var bucketValues = func() (values [bucketCount + centreBucket]float64) {
	for i := range values {
		values[i] = math.Pow(bucketGrowth, float64(i-centreBucket))
	}
	return values
}()

// value returns the value that stands for a bucket.
func (h *Histogram) value(bucket int) float64 { return bucketValues[bucket-h.Origin+centreBucket] }

func (h *Histogram) bucket(v float64) int {
	i := h.Origin + int(math.Round(math.Log(v)/math.Log(bucketGrowth)))
	return min(max(i, 0), bucketCount-1)
}

// add adds an observation of a positive value.
func (h *Histogram) add(v, weight float64) {
	h.Counts[h.bucket(v)] += float32(weight)
	h.Total += weight
	if h.Total > maxWeight {
		h.scale(0.5)
	}
}

func (h *Histogram) scale(f float64) {
	for i := range h.Counts {
		h.Counts[i] *= float32(f)
	}
	h.Total *= f
}

// quantile returns the value below which the share q of the observations lies; it is 0 if there are none.
func (h *Histogram) quantile(q float64) float64 {
	left := q * h.Total
	for i, n := range h.Counts {
		if left -= float64(n); n > 0 && left <= 0 {
			return h.value(i)
		}
	}
	return 0
}

// spread returns the standard deviation of the logarithm of the observations.
func (h *Histogram) spread() float64 {
	if h.Total <= 0 {
		return math.Inf(1)
	}
	sum, squares := 0.0, 0.0
	for i, n := range h.Counts {
		x := float64(i)
		sum += float64(n) * x
		squares += float64(n) * x * x
	}
	mean := sum / h.Total
	return math.Sqrt(max(0, squares/h.Total-mean*mean)) * math.Log(bucketGrowth)
}

// meanBeyond returns the mean of the observations above v, with each observation multiplied by scale and cut at limit; ok
// is false if there are none.
func (h *Histogram) meanBeyond(v, scale, limit float64) (mean float64, ok bool) {
	sum, weight := 0.0, 0.0
	for i, n := range h.Counts {
		if n == 0 {
			continue
		}
		if x := min(h.value(i)*scale, limit); x > v {
			sum += float64(n) * x
			weight += float64(n)
		}
	}
	if weight == 0 {
		return 0, false
	}
	return sum / weight, true
}

// valid reports whether a histogram from another process can be used.
func (h *Histogram) valid(origin int) bool {
	total := 0.0
	for _, n := range h.Counts {
		if !(n >= 0) { // not a number compares false
			return false
		}
		total += float64(n)
	}
	return h.Origin == origin && h.Total >= 0 && math.Abs(total-h.Total) <= 0.01*max(1, h.Total) && h.Total <= 2*maxWeight
}
