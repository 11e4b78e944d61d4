package checker

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/parser"
)

// scope says for which kind of service a setting has an effect.
type scope string

const (
	anyKind    scope = ""
	keyedOnly  scope = "keyed"
	sharedOnly scope = "shared"
)

// rule reads and shows one setting of a T.
type rule[T any] struct {
	name string
	// unit says what values look like, for the pages and for findings.
	unit  string
	scope scope
	// common settings must be the same in all data centres: hosts of different ones rely on the same value.
	common bool
	set    func(target *T, text string) error
	show   func(target *T) string
}

func (r rule[T]) shared() rule[T] {
	r.common = true
	return r
}

func (r rule[T]) only(s scope) rule[T] {
	r.scope = s
	return r
}

func durationRule[T any](name string, field func(*T) *time.Duration, low, high time.Duration) rule[T] {
	return rule[T]{
		name: name,
		unit: "time from " + formatDuration(low) + " to " + formatDuration(high),
		set: func(target *T, text string) error {
			d, err := parser.Duration(text)
			if err != nil {
				return err
			}
			if d < low || d > high {
				return outOfRange(d == 0, formatDuration(low), formatDuration(high))
			}
			*field(target) = d
			return nil
		},
		show: func(target *T) string { return formatDuration(*field(target)) },
	}
}

func numberRule[T any](name string, field func(*T) *int, low, high int) rule[T] {
	return rule[T]{
		name: name,
		unit: "whole number from " + strconv.Itoa(low) + " to " + strconv.Itoa(high),
		set: func(target *T, text string) error {
			n, err := parser.Number(text)
			if err != nil {
				return err
			}
			if n < low || n > high {
				return outOfRange(n == 0, strconv.Itoa(low), strconv.Itoa(high))
			}
			*field(target) = n
			return nil
		},
		show: func(target *T) string { return strconv.Itoa(*field(target)) },
	}
}

func sizeRule[T any](name string, get func(*T) int64, put func(*T, int64), low, high int64) rule[T] {
	return rule[T]{
		name: name,
		unit: "size from " + parser.FormatSize(low) + " to " + parser.FormatSize(high),
		set: func(target *T, text string) error {
			n, err := parser.Size(text)
			if err != nil {
				return err
			}
			if n < low || n > high {
				return outOfRange(n == 0, parser.FormatSize(low), parser.FormatSize(high))
			}
			put(target, n)
			return nil
		},
		show: func(target *T) string { return parser.FormatSize(get(target)) },
	}
}

func fractionRule[T any](name string, field func(*T) *float64, low, high float64) rule[T] {
	format := func(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
	return rule[T]{
		name: name,
		unit: "decimal number from " + format(low) + " to " + format(high),
		set: func(target *T, text string) error {
			f, err := parser.Fraction(text)
			if err != nil {
				return err
			}
			if f < low || f > high {
				return outOfRange(f == 0, format(low), format(high))
			}
			*field(target) = f
			return nil
		},
		show: func(target *T) string { return format(*field(target)) },
	}
}

func switchRule[T any](name string, field func(*T) *bool) rule[T] {
	return rule[T]{
		name: name,
		unit: "true or false",
		set: func(target *T, text string) error {
			b, err := parser.Switch(text)
			if err != nil {
				return err
			}
			*field(target) = b
			return nil
		},
		show: func(target *T) string { return strconv.FormatBool(*field(target)) },
	}
}

// outOfRange names a limit of zero apart, because other systems read zero as "no limit".
func outOfRange(zero bool, low, high string) error {
	if zero {
		return errors.Errorf("a limit of zero is not allowed, wants %s to %s", low, high)
	}
	return errors.Errorf("out of range, wants %s to %s", low, high)
}

// formatDuration leaves out the zero parts that time.Duration shows, as in 1h0m0s.
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
