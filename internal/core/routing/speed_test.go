package routing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func TestSpeedFit(t *testing.T) {
	cases := []struct {
		name        string
		base, slope float64 // seconds
	}{
		{"load does not matter", 0.02, 0},
		{"load matters", 0.02, 1e-5},
		{"a fast service", 0.0001, 1e-7},
	}
	for _, c := range cases {
		random := rand.New(rand.NewPCG(1, 1))
		fitted := speed{base: 1}
		for range 2000 {
			work, load := 50+500*random.Float64(), 10_000*random.Float64()
			noise := 0.8 + 0.4*random.Float64()
			took := work * (c.base + c.slope*load) * noise
			fitted.addSample(work, load, time.Duration(took*float64(time.Second)))
		}
		slow := c.base + c.slope*10_000
		got := fitted.base + fitted.slope*10_000
		if math.Abs(fitted.base-c.base) > 0.25*c.base || math.Abs(got-slow) > 0.25*slow {
			t.Errorf("%s: fitted %.5f s idle and %.5f s loaded, want about %.5f and %.5f", c.name, fitted.base, got, c.base, slow)
		}
	}
}
