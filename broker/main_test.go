package broker_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/tester/harness"
)

func TestMain(m *testing.M) { harness.Main(m) }
