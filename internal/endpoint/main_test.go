package endpoint

import (
	"testing"

	"cactuswall.example/cactuswall/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }
