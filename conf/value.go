package conf

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// nonEmpty returns a parser for a value that must not be empty. It stores the value in dst,
// as the other parsers here do if the value is valid.
func nonEmpty(dst *string) func(string) error {
	return func(value string) error {
		if value == "" {
			return fmt.Errorf("value is empty")
		}
		*dst = value
		return nil
	}
}

func oneOf(dst *string, choices ...string) func(string) error {
	return func(value string) error {
		for _, c := range choices {
			if value == c {
				*dst = value
				return nil
			}
		}
		return fmt.Errorf("%q is not one of %s", value, strings.Join(choices, ", "))
	}
}

func address(dst *string) func(string) error {
	return func(value string) error {
		host, port, err := net.SplitHostPort(value)
		if err != nil || net.ParseIP(host) == nil {
			return fmt.Errorf("%q is not an IP address and a port", value)
		}
		if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
			return fmt.Errorf("port %q is out of range: want 1 to 65535", port)
		}
		*dst = value
		return nil
	}
}

func addresses(dst *[]string) func(string) error {
	return func(value string) error {
		for _, part := range strings.Split(value, ",") {
			var addr string
			if err := address(&addr)(strings.TrimSpace(part)); err != nil {
				return err
			}
			*dst = append(*dst, addr)
		}
		return nil
	}
}

func httpURL(dst *string) func(string) error {
	return func(value string) error {
		u, err := url.Parse(value)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return fmt.Errorf("%q is not an http or https URL", value)
		}
		*dst = strings.TrimSuffix(value, "/")
		return nil
	}
}

func duration(dst *time.Duration, low, high time.Duration) func(string) error {
	return func(value string) error {
		d, err := time.ParseDuration(value)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 2s", value)
		}
		if d < low || d > high {
			return fmt.Errorf("%s is out of range: want %s to %s", d, low, high)
		}
		*dst = d
		return nil
	}
}

// milliseconds parses a time of 1 ms to high that is given as a number of milliseconds.
func milliseconds(dst *time.Duration, high time.Duration) func(string) error {
	return func(value string) error {
		var n int
		if err := integer(&n, 1, int(high.Milliseconds()))(value); err != nil {
			return fmt.Errorf("%q is not a number of milliseconds: %w", value, err)
		}
		*dst = time.Duration(n) * time.Millisecond
		return nil
	}
}

func integer(dst *int, low, high int) func(string) error {
	return func(value string) error {
		n, err := strconv.Atoi(value)
		if err != nil {
			return fmt.Errorf("%q is not an integer", value)
		}
		if n < low || n > high {
			return fmt.Errorf("%d is out of range: want %d to %d", n, low, high)
		}
		*dst = n
		return nil
	}
}

// units are the suffixes of sizes. Every size has one.
var units = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"B", 1}}

func size(dst *int64, low, high int64) func(string) error {
	return func(value string) error {
		for _, u := range units {
			digits, found := strings.CutSuffix(value, u.suffix)
			if !found {
				continue
			}
			n, err := strconv.ParseInt(digits, 10, 32)
			if err != nil {
				return fmt.Errorf("%q is not a size such as 64KiB", value)
			}
			if n*u.bytes < low || n*u.bytes > high {
				return fmt.Errorf("%s is out of range: want %d to %d bytes", value, low, high)
			}
			*dst = n * u.bytes
			return nil
		}
		return fmt.Errorf("%q is not a size such as 64KiB", value)
	}
}
