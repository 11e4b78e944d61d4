package parser

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Bytes per unit of Size and FormatSize.
const (
	kib = 1 << 10
	mib = 1 << 20
)

// Duration parses a non-negative duration with units, such as 750ms or 1h30m.
func Duration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	switch {
	case err == nil && d < 0:
		return 0, errors.New("a time cannot be negative")
	case err == nil && (text != "0" && text != "+0"):
		return d, nil
	case err == nil:
		return 0, errors.New("a time needs a unit, as in 0s")
	}
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		return 0, errors.Errorf("a time needs a unit: %sms, %ss, %sm or %sh", text, text, text, text)
	}
	return 0, errors.New("wants a time with the unit ms, s, m or h, such as 750ms")
}

// Size parses a size with the unit B, KiB or MiB and returns it in bytes.
func Size(text string) (int64, error) {
	factor := int64(1)
	number := text
	switch {
	case strings.HasSuffix(text, "MiB"):
		number = strings.TrimSuffix(text, "MiB")
		factor = mib
	case strings.HasSuffix(text, "KiB"):
		number = strings.TrimSuffix(text, "KiB")
		factor = kib
	case strings.HasSuffix(text, "B"):
		number = strings.TrimSuffix(text, "B")
	default:
		return 0, errors.New("wants a size with the unit B, KiB or MiB, such as 64KiB")
	}
	n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
	if err != nil || n < 0 || n > (1<<40)/factor {
		return 0, errors.New("wants a whole number of B, KiB or MiB, such as 64KiB")
	}
	return n * factor, nil
}

// FormatSize formats n bytes in the largest unit that divides n.
func FormatSize(n int64) string {
	switch {
	case n >= mib && n%mib == 0:
		return strconv.FormatInt(n/mib, 10) + "MiB"
	case n >= kib && n%kib == 0:
		return strconv.FormatInt(n/kib, 10) + "KiB"
	}
	return strconv.FormatInt(n, 10) + "B"
}

// Number parses a whole number.
func Number(text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, errors.New("wants a whole number without a unit")
	}
	return n, nil
}

// Decimal parses a decimal number without a unit. It may be greater than one.
func Decimal(text string) (float64, error) {
	if strings.HasSuffix(text, "%") {
		return 0, errors.New("wants a decimal number without %, such as 0.1 for 10%")
	}
	// ParseFloat also accepts NaN, Inf and hexadecimal numbers, which no setting allows.
	if strings.ContainsAny(text, "nNiIxX") {
		return 0, errors.New("wants a decimal number such as 0.1")
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, errors.New("wants a decimal number such as 0.1")
	}
	return f, nil
}

// Bool parses true or false.
func Bool(text string) (bool, error) {
	switch text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, errors.New("wants true or false")
}

// List parses a comma-separated list of names. Empty parts are left out.
func List(text string) []string {
	var list []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}
