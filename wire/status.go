package wire

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrInvalidStatus means that a response has a status that no answer to a request can have.
var ErrInvalidStatus = errors.New("response has no valid status")

// CheckFinal returns ErrInvalidStatus unless a status is one of a final response. No caller asks
// for another protocol, so 101 is none.
func CheckFinal(status int) error {
	if status < http.StatusOK {
		return fmt.Errorf("status %03d: %w", status, ErrInvalidStatus)
	}
	return nil
}

// IsInterim reports whether a status is that of a response which precedes the final one on the same
// connection.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
