package scenario

import (
	"errors"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// TestUnmodifiedOpenAIClient guards against incompatibilities with the public OpenAI
// client library, configured with only a base URL, an API key and no retries.
func TestUnmodifiedOpenAIClient(t *testing.T) {
	c, entries := deployCluster(t, 1, 1, 0, 4)
	client := openai.NewClient(option.WithBaseURL(c.proc(entries[0]).baseURL+"/v1"), option.WithAPIKey(apiKey), option.WithMaxRetries(0))
	ctx := t.Context()
	params := openai.ChatCompletionNewParams{
		Model:         modelName,
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("which bin? out=7")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}

	t.Run("streamed", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(ctx, params)
		acc := openai.ChatCompletionAccumulator{}
		for stream.Next() {
			if !acc.AddChunk(stream.Current()) {
				t.Fatal("a chunk is inconsistent with the previous chunks")
			}
		}
		if err := stream.Err(); err != nil {
			t.Fatal(err)
		}
		choice := acc.Choices[0]
		if n := len(strings.Fields(choice.Message.Content)); n != 7 || choice.FinishReason != "stop" || choice.Message.Role != "assistant" {
			t.Errorf("%d tokens, choice %+v", n, choice)
		}
		if acc.Usage.CompletionTokens != 7 || acc.Usage.TotalTokens != acc.Usage.PromptTokens+7 {
			t.Errorf("usage %+v", acc.Usage)
		}
	})
	t.Run("whole", func(t *testing.T) {
		whole := params
		whole.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
		got, err := client.Chat.Completions.New(ctx, whole)
		if err != nil {
			t.Fatal(err)
		}
		if n := len(strings.Fields(got.Choices[0].Message.Content)); n != 7 || got.Object != "chat.completion" || got.Usage.CompletionTokens != 7 {
			t.Errorf("%d tokens, %+v", n, got)
		}
	})
	t.Run("legacy completions", func(t *testing.T) {
		got, err := client.Completions.New(ctx, openai.CompletionNewParams{
			Model: modelName, Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("out=5")},
		})
		if err != nil {
			t.Fatal(err)
		}
		if n := len(strings.Fields(got.Choices[0].Text)); n != 5 || got.Object != "text_completion" {
			t.Errorf("%d tokens, %+v", n, got)
		}
	})
	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(ctx)
		if err != nil || len(page.Data) != 1 || page.Data[0].ID != modelName {
			t.Errorf("models %+v, %v", page, err)
		}
		if m, err := client.Models.Get(ctx, modelName); err != nil || m.ID != modelName {
			t.Errorf("model %+v, %v", m, err)
		}
	})
	t.Run("error", func(t *testing.T) {
		bad := params
		bad.Model = "cans"
		_, err := client.Chat.Completions.New(ctx, bad)
		var apiErr *openai.Error
		if !errors.As(err, &apiErr) || apiErr.StatusCode != 404 || apiErr.Code != "model_not_found" {
			t.Errorf("error %v", err)
		}
	})
}
