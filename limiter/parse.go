package limiter

import (
	"strconv"
	"strings"
)

// Parse parses the values of the header in which a target states its limit, each a decimal number of requests per second or
// several with commas. It returns the lowest that can be read, nil if there is none. unreadable says that there are values
// but none can be read.
func Parse(values []string) (limit *float64, unreadable bool) {
	if len(values) == 0 {
		return nil, false
	}
	for _, v := range strings.Split(strings.Join(values, ","), ",") {
		v = strings.TrimSpace(v)
		// ParseFloat also reads hexadecimal numbers, infinities and NaN.
		if strings.Trim(v, "0123456789+-.eE") != "" {
			continue
		}
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || n < 0 {
			continue
		}
		if limit == nil || n < *limit {
			limit = &n
		}
	}
	return limit, limit == nil
}
