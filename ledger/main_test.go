package ledger

import (
	"testing"

	"teaselplank/proof"
)

func TestMain(m *testing.M) {
	proof.Main(m, map[string]string{"rapid.checks": "4000", "rapid.steps": "60"})
}
