package ledger

import (
	"testing"

	"teaselplank/verify"
)

func TestMain(m *testing.M) {
	verify.Main(m, map[string]string{"rapid.checks": "4000", "rapid.steps": "60"})
}
