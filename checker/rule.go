package checker

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/parser"
)

// scope is the kind of service on which a setting has an effect.
type scope string

const (
	anyKind    scope = ""
	keyedOnly  scope = "keyed"
	sharedOnly scope = "shared"
)

// rule parses, checks and formats one setting, which is stored in a T.
type rule[T any] struct {
	name string
	// validValues describes the values that the setting accepts, for the documentation.
	validValues string
	scope       scope
	// common says that the value must be the same in all data centres, because hosts of different data centres rely on
	// the same value.
	common bool
	set    func(settings *T, text string) error
	show   func(settings *T) string
}

// asCommon returns a copy of the rule whose setting must be the same in all data centres.
func (r rule[T]) asCommon() rule[T] {
	r.common = true
	return r
}

// only returns a copy of the rule whose setting has an effect only on services of kind s.
func (r rule[T]) only(s scope) rule[T] {
	r.scope = s
	return r
}

func durationRule[T any](name string, field func(*T) *time.Duration, low, high time.Duration) rule[T] {
	return rule[T]{
		name:        name,
		validValues: "time from " + formatDuration(low) + " to " + formatDuration(high),
		set: func(settings *T, text string) error {
			d, err := parser.Duration(text)
			if err != nil {
				return err
			}
			if d < low || d > high {
				return outOfRange(d == 0, formatDuration(low), formatDuration(high))
			}
			*field(settings) = d
			return nil
		},
		show: func(settings *T) string { return formatDuration(*field(settings)) },
	}
}

func numberRule[T any](name string, field func(*T) *int, low, high int) rule[T] {
	return rule[T]{
		name:        name,
		validValues: "whole number from " + strconv.Itoa(low) + " to " + strconv.Itoa(high),
		set: func(settings *T, text string) error {
			n, err := parser.Number(text)
			if err != nil {
				return err
			}
			if n < low || n > high {
				return outOfRange(n == 0, strconv.Itoa(low), strconv.Itoa(high))
			}
			*field(settings) = n
			return nil
		},
		show: func(settings *T) string { return strconv.Itoa(*field(settings)) },
	}
}

func sizeRule[T any](name string, get func(*T) int64, put func(*T, int64), low, high int64) rule[T] {
	return rule[T]{
		name:        name,
		validValues: "size from " + parser.FormatSize(low) + " to " + parser.FormatSize(high),
		set: func(settings *T, text string) error {
			n, err := parser.Size(text)
			if err != nil {
				return err
			}
			if n < low || n > high {
				return outOfRange(n == 0, parser.FormatSize(low), parser.FormatSize(high))
			}
			put(settings, n)
			return nil
		},
		show: func(settings *T) string { return parser.FormatSize(get(settings)) },
	}
}

func decimalRule[T any](name string, field func(*T) *float64, low, high float64) rule[T] {
	format := func(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
	return rule[T]{
		name:        name,
		validValues: "decimal number from " + format(low) + " to " + format(high),
		set: func(settings *T, text string) error {
			f, err := parser.Decimal(text)
			if err != nil {
				return err
			}
			if f < low || f > high {
				return outOfRange(f == 0, format(low), format(high))
			}
			*field(settings) = f
			return nil
		},
		show: func(settings *T) string { return format(*field(settings)) },
	}
}

func boolRule[T any](name string, field func(*T) *bool) rule[T] {
	return rule[T]{
		name:        name,
		validValues: "true or false",
		set: func(settings *T, text string) error {
			b, err := parser.Bool(text)
			if err != nil {
				return err
			}
			*field(settings) = b
			return nil
		},
		show: func(settings *T) string { return strconv.FormatBool(*field(settings)) },
	}
}

// outOfRange returns the error for a value out of range. Zero has a message of its own, because other systems take a
// limit of zero as "no limit".
func outOfRange(zero bool, low, high string) error {
	if zero {
		return errors.Errorf("a limit of zero is not allowed, wants %s to %s", low, high)
	}
	return errors.Errorf("out of range, wants %s to %s", low, high)
}

// formatDuration formats d without the zero units that time.Duration.String adds: 1h in place of 1h0m0s.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}
