package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"fescuespar/internal/adapters/deploymenttoml"
	"fescuespar/internal/core"
	"fescuespar/internal/core/routing"
)

// Sizes and rates of the workload.
const (
	entryCount      = 10
	pagesPerSecond  = 10.0
	pageBytes       = 20_000
	turnsPerSecond  = 2.0 // of people's conversations
	turnsMean       = 5   // of one conversation
	bytesPerToken   = 4
	tokensPerBlock  = core.PrefixBlockBytes / bytesPerToken
	commonBlocks    = 8 // of every prompt of a deployment
	sampleBlocks    = 48
	talkBlocks      = 12   // of a conversation's first prompt
	talkAnswer      = 60.0 // tokens, least of a Pareto distribution
	talkAnswerMost  = 600.0
	paretoShape     = 1.5
	trainerWork     = 25 * time.Second // on one step
	stepsPerVersion = 8                // new weights after at least 200 s
)

// operator is one of the users: deployments and the servers that run them. Pairs are
// the numbers in the home and in the other region.
type operator struct {
	name        string
	regions     [2]core.RegionName
	engines     [2]int
	plains      [2]int
	entries     [2]int
	deployments []core.Deployment
}

// loadSites returns the sites of the brief with their example deployments.
func loadSites(examples string) ([]*operator, error) {
	found := []*operator{
		{name: "anerie", regions: [2]core.RegionName{"qc-est", "qc-ouest"}, engines: [2]int{6, 3}, plains: [2]int{2, 1}, entries: [2]int{7, 3}},
		{name: "kootenay", regions: [2]core.RegionName{"kootenay", "okanagan"}, engines: [2]int{5, 3}, plains: [2]int{3, 2}, entries: [2]int{6, 4}},
	}
	for _, s := range found {
		collected, err := deploymenttoml.Collect(examples + "/" + s.name)
		if err != nil {
			return nil, err
		}
		if len(collected.Problems) > 0 {
			return nil, fmt.Errorf("%s: %v", s.name, collected.Problems[0])
		}
		s.deployments = collected.Deployments
	}
	return found, nil
}

// zone returns the availability zone of the i-th VM: two at home, one away.
func zone(region core.RegionName, home bool, i int) core.ZoneName {
	if !home {
		i = 0
	}
	return core.ZoneName(fmt.Sprintf("%s-%d", region, i%2))
}

// request is one request on its way through an entry VM.
type request struct {
	deployment *core.Deployment
	class      core.Class
	entry      int
	key        uint64 // conversation or group, which consistent hashing is told
	prefix     []uint64
	prompt     int // tokens
	answer     int // tokens
	bytes      int
	most       int // tokens that its answer may have
	oldest     core.WeightVersion
	kills      bool

	fingerprint uint64

	arrived  time.Duration
	began    time.Duration // admitted
	ran      time.Duration // of its last run
	attempts int
	waits    int
	done     int                // tokens kept
	held     int                // tokens kept at its last attempt
	produced core.WeightVersion // oldest that produced a token
	exclude  []core.ServerID
	attempt  *attempt // newest
	admitted bool
	over     bool
	ended    func(ok bool)
}

func (r *request) query(e *entry) routing.Query {
	return routing.Query{
		Kind: r.deployment.Kind, Service: r.deployment.Service, Adapter: r.deployment.Adapter, Version: r.oldest,
		Zone: e.zone, Region: e.region, Class: r.class, Tokens: r.prompt + r.most, Bytes: r.bytes,
		Prefix: r.prefix, Exclude: r.exclude,
	}
}

// blocks returns the hashes of a prompt: the deployment's blocks, then its own.
func blocks(common, key uint64, count int) []uint64 {
	hashes := make([]uint64, count)
	for i := range hashes {
		if i < commonBlocks {
			hashes[i] = mix(common<<32 + uint64(i))
		} else {
			hashes[i] = mix(key<<16 + uint64(i))
		}
	}
	return hashes
}

// mix spreads a number over 64 bits (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func paretoOf(random *rand.Rand) float64 {
	return math.Pow(1-random.Float64(), -1/paretoShape)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// generation makes a request for tokens.
func generation(d *core.Deployment, number int, key uint64, promptBlocks, answer, most int) *request {
	return &request{
		deployment: d, key: key, prefix: blocks(uint64(number), key, promptBlocks), prompt: promptBlocks * tokensPerBlock,
		answer: answer, most: most, bytes: (promptBlocks*tokensPerBlock + answer) * bytesPerToken,
	}
}

// sampleOf makes the request of a sample: the same length however often it runs.
func sampleOf(d *core.Deployment, number int, id core.SampleID) *request {
	key := uint64(number+1)<<40 | uint64(id.Group.Step)<<10 | uint64(id.Group.Index)
	group := rand.New(rand.NewPCG(key, 1))
	own := rand.New(rand.NewPCG(key, uint64(2+id.Index)))
	median := float64(d.Rollout.MaxTokens) / 5
	length := median * math.Exp(0.5*group.NormFloat64()+0.8*own.NormFloat64())
	answer := min(max(int(length), 1), d.Rollout.MaxTokens)
	r := generation(d, number, key, sampleBlocks, answer, d.Rollout.MaxTokens)
	r.class = core.ClassRollout
	return r
}

// people sends conversations and page loads for as long as the world runs.
func (w *world) people() {
	var talks, pages []int
	for i := range w.site.deployments {
		switch d := &w.site.deployments[i]; {
		case d.Kind == core.KindPlain:
			pages = append(pages, i)
		case d.Class == core.ClassPeople:
			talks = append(talks, i)
		}
	}
	w.every(turnsPerSecond*w.load/turnsMean, func() {
		number := talks[w.persons.IntN(len(talks))]
		w.turn(number, w.persons.Uint64()>>20, talkBlocks)
	})
	w.every(pagesPerSecond, func() {
		d := &w.site.deployments[pages[w.persons.IntN(len(pages))]]
		w.person(&request{deployment: d, answer: 1, most: 1, bytes: pageBytes, key: w.persons.Uint64()})
	})
}

// every runs a function at the times of a Poisson process.
func (w *world) every(rate float64, do func()) {
	w.clock.After(seconds(w.persons.ExpFloat64()/rate), func() {
		do()
		w.every(rate, do)
	})
}

// turn is one turn of a conversation, whose prompt grows.
func (w *world) turn(number int, key uint64, promptBlocks int) {
	answer := int(min(talkAnswerMost, talkAnswer*paretoOf(w.persons)))
	w.person(generation(&w.site.deployments[number], number, key, promptBlocks, answer, talkAnswerMost/3))
	if w.persons.IntN(turnsMean) > 0 {
		gap := seconds(6 + 12*w.persons.ExpFloat64())
		w.clock.After(gap, func() { w.turn(number, key, promptBlocks+2+answer/tokensPerBlock) })
	}
}

// person sends a request of a person through any entry VM.
func (w *world) person(r *request) {
	r.class, r.entry = core.ClassPeople, w.persons.IntN(entryCount)
	w.peopleSent(r)
	w.submit(r)
}
