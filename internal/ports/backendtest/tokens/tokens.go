// Package tokens defines the answers of the stand-in and fake engines. A token
// depends only on prompt, seed and position, not on the weights, so that a test
// can check an answer that several engines and weight versions generated.
package tokens

import (
	"hash/fnv"
	"strconv"
	"strings"

	"fescuespar/internal/core"
)

// The bounds of the length, in tokens, at which an answer ends by itself.
const (
	MinLength = 64
	MaxLength = 575
)

var vocabulary = [...]string{
	" donkey", " barn", " hay", " gentle", " calm", " walks", " likes", " shade",
	" valve", " motor", " cord", " solder", " clean", " test", " screw", " spring",
}

// hashOf returns a pseudo-random number for a token position of an answer.
func hashOf(prompt string, seed int64, position int) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(prompt))
	_, _ = hash.Write([]byte(strconv.FormatInt(seed, 36) + "/" + strconv.Itoa(position)))
	return hash.Sum64()
}

// At returns the token at a position of the answer, counted from zero. Every
// token contains its position, so that missing and repeated tokens are visible.
func At(prompt string, seed int64, position int) string {
	word := vocabulary[hashOf(prompt, seed, position)%uint64(len(vocabulary))]
	return word + strconv.Itoa(position)
}

// Length returns the number of tokens of an answer, at most limit, and the
// reason why it ends.
func Length(prompt string, seed int64, limit int) (int, core.FinishReason) {
	natural := MinLength + int(hashOf(prompt, seed, -1)%(MaxLength-MinLength+1))
	if natural <= limit {
		return natural, core.FinishStop
	}
	return limit, core.FinishLength
}

// Answer returns the tokens of an answer, at most limit.
func Answer(prompt string, seed int64, limit int) []string {
	length, _ := Length(prompt, seed, limit)
	answer := make([]string, length)
	for i := range answer {
		answer[i] = At(prompt, seed, i)
	}
	return answer
}

// Text returns the text of an answer of at most limit tokens.
func Text(prompt string, seed int64, limit int) string {
	return strings.Join(Answer(prompt, seed, limit), "")
}

// scoreSteps is the number of possible scores.
const scoreSteps = 1000

// Score returns the score of an answer, from 0 up to but not including 1.
func Score(prompt string, answer []string) float64 {
	return float64(hashOf(prompt+strings.Join(answer, ""), 0, 0)%scoreSteps) / scoreSteps
}
