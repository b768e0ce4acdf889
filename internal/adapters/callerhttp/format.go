package callerhttp

import "fescuespar/internal/core"

// format builds the OpenAI-compatible bodies of one answer.
type format struct {
	object string
	id     string
	model  string
	chat   bool
}

type textBody struct {
	Content string `json:"content"`
}

type choice struct {
	Index        int                `json:"index"`
	Text         *string            `json:"text,omitempty"`
	Message      *message           `json:"message,omitempty"`
	Delta        *textBody          `json:"delta,omitempty"`
	FinishReason *core.FinishReason `json:"finish_reason"`
}

type answerBody struct {
	ID            string             `json:"id"`
	Object        string             `json:"object"`
	Model         string             `json:"model,omitempty"`
	Choices       []choice           `json:"choices"`
	WeightVersion core.WeightVersion `json:"weight_version,omitempty"`
}

// chunkSuffix is the suffix of the object name of a streamed chat chunk.
const chunkSuffix = ".chunk"

// eventBody returns the body of one server-sent event.
func (f format) eventBody(text string, version core.WeightVersion, finish core.FinishReason) answerBody {
	c := choice{FinishReason: finishOrNull(finish)}
	object := f.object
	if f.chat {
		c.Delta = &textBody{Content: text}
		object += chunkSuffix
	} else {
		c.Text = &text
	}
	return answerBody{ID: f.id, Object: object, Model: f.model, Choices: []choice{c}, WeightVersion: version}
}

// completeBody returns the body of an answer that is not streamed.
func (f format) completeBody(text string, version core.WeightVersion, finish core.FinishReason) answerBody {
	c := choice{FinishReason: finishOrNull(finish)}
	if f.chat {
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return answerBody{ID: f.id, Object: f.object, Model: f.model, Choices: []choice{c}, WeightVersion: version}
}

func finishOrNull(finish core.FinishReason) *core.FinishReason {
	if finish == "" {
		return nil
	}
	return &finish
}
