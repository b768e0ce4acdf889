// Package tokens defines the answers of the stand-in and fake engines. They
// depend on prompt, seed and position only, not on the weights, so that a test
// can check an answer that several engines and weight versions produced.
package tokens

import (
	"hash/fnv"
	"strconv"
	"strings"

	"fescuespar/internal/core"
)

// The bounds of an answer's natural length, in tokens.
const (
	MinLength = 64
	MaxLength = 575
)

var vocabulary = [...]string{
	" donkey", " barn", " hay", " gentle", " calm", " walks", " likes", " shade",
	" valve", " motor", " cord", " solder", " clean", " test", " screw", " spring",
}

func hashOf(prompt string, seed int64, position int) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(prompt))
	_, _ = hash.Write([]byte(strconv.FormatInt(seed, 36) + "/" + strconv.Itoa(position)))
	return hash.Sum64()
}

// At returns the token at a position of the answer, counted from zero. Every
// token holds its position, so that gaps and repeats are visible.
func At(prompt string, seed int64, position int) string {
	word := vocabulary[hashOf(prompt, seed, position)%uint64(len(vocabulary))]
	return word + strconv.Itoa(position)
}

// Length returns the number of tokens of an answer bounded by limit and the
// reason for which it ends.
func Length(prompt string, seed int64, limit int) (int, core.FinishReason) {
	natural := MinLength + int(hashOf(prompt, seed, -1)%(MaxLength-MinLength+1))
	if natural <= limit {
		return natural, core.FinishStop
	}
	return limit, core.FinishLength
}

// Answer returns the whole answer bounded by limit.
func Answer(prompt string, seed int64, limit int) []string {
	length, _ := Length(prompt, seed, limit)
	answer := make([]string, length)
	for i := range answer {
		answer[i] = At(prompt, seed, i)
	}
	return answer
}

// Text returns the whole answer bounded by limit as one string.
func Text(prompt string, seed int64, limit int) string {
	return strings.Join(Answer(prompt, seed, limit), "")
}

// scoreSteps is the number of different scores.
const scoreSteps = 1000

// Score returns the score of an answer, from 0 up to but not including 1.
func Score(prompt string, answer []string) float64 {
	return float64(hashOf(prompt+strings.Join(answer, ""), 0, 0)%scoreSteps) / scoreSteps
}
