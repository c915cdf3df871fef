package fake

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"teaselplank/wire"
)

// An upstreamClient tests an upstream through its URL alone, so that another
// implementation can replace the stand-in.
type upstreamClient struct {
	t   *testing.T
	url string
}

func serveUpstream(t *testing.T, u *Upstream) upstreamClient {
	s := httptest.NewServer(u.Handler())
	t.Cleanup(s.Close)
	return upstreamClient{t, s.URL}
}

// do sends a request and returns the status, the body and the header of the response.
func (c upstreamClient) do(method, path string, header map[string]string, body any) (int, string, http.Header) {
	c.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		c.t.Fatal(err)
	}
	r, err := http.NewRequest(method, c.url+path, bytes.NewReader(data))
	if err != nil {
		c.t.Fatal(err)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return response.StatusCode, string(text), response.Header
}

// stream returns the tokens of a generation.
func (c upstreamClient) stream(call wire.StageCall) []wire.Token {
	c.t.Helper()
	_, text, _ := c.do(http.MethodPost, "/stream", nil, call)
	var tokens []wire.Token
	scanner := bufio.NewScanner(strings.NewReader(text))
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		var token wire.Token
		if err := json.Unmarshal([]byte(data), &token); err != nil {
			c.t.Fatal(err)
		}
		tokens = append(tokens, token)
	}
	return tokens
}

func TestStageContract(t *testing.T) {
	u := NewUpstream(UpstreamConfig{Slots: 2})
	c := serveUpstream(t, u)
	for _, kind := range []string{"encoder", "retriever", "reranker"} {
		t.Run(kind+" echoes the attempt", func(t *testing.T) {
			_, text, _ := c.do(http.MethodPost, "/stage", nil, wire.StageCall{Request: "r", Stage: 2, Attempt: 3, Kind: kind, Input: "x"})
			var reply wire.StageReply
			if err := json.Unmarshal([]byte(text), &reply); err != nil {
				t.Fatal(err)
			}
			if reply.Request != "r" || reply.Stage != 2 || reply.Attempt != 3 || reply.Output == "" || reply.Load.Slots != 2 {
				t.Errorf("reply is %+v", reply)
			}
		})
	}
	t.Run("a leaving upstream reports it", func(t *testing.T) {
		u.SetFaults(Faults{Leaving: true})
		defer u.SetFaults(Faults{})
		_, _, header := c.do(http.MethodPost, "/stage", nil, wire.StageCall{Request: "r"})
		_, load, _ := c.do(http.MethodGet, "/load", nil, nil)
		if header.Get(wire.HeaderLeaving) != "true" || !strings.Contains(load, `"leaving":true`) {
			t.Errorf("header is %v, load %s", header, load)
		}
	})
	t.Run("an invalid body is rejected", func(t *testing.T) {
		if status, _, _ := c.do(http.MethodPost, "/stage", nil, "x"); status != http.StatusBadRequest {
			t.Errorf("status is %d", status)
		}
	})
}

func TestStreamContract(t *testing.T) {
	c := serveUpstream(t, NewUpstream(UpstreamConfig{}))
	whole := c.stream(wire.StageCall{Request: "r", Attempt: 1, Input: "x", MaxTokens: 6})
	t.Run("indices have no gaps and the last token is marked", func(t *testing.T) {
		if len(whole) != 7 || !whole[6].End {
			t.Fatalf("tokens are %+v", whole)
		}
		for i, token := range whole {
			if token.Index != i || token.Request != "r" || token.Attempt != 1 {
				t.Errorf("token %d is %+v", i, token)
			}
		}
	})
	t.Run("a resumed stream continues with the same tokens", func(t *testing.T) {
		rest := c.stream(wire.StageCall{Request: "r", Attempt: 2, Input: "x", MaxTokens: 6, ResumeFrom: 4})
		if len(rest) != 3 || rest[0].Index != 4 || rest[0].Text != whole[4].Text || rest[1].Text != whole[5].Text {
			t.Errorf("tokens are %+v", rest)
		}
	})
}

func TestServiceContract(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		t.Run("fenced "+strconv.FormatBool(fenced), func(t *testing.T) {
			c := serveUpstream(t, NewUpstream(UpstreamConfig{Fenced: fenced}))
			header := func(number int) map[string]string {
				return map[string]string{wire.HeaderKey: "k", wire.HeaderFence: strconv.Itoa(number)}
			}
			lookup := func(number int) (int, wire.KeyStatus) {
				var status wire.KeyStatus
				code, text, _ := c.do(http.MethodGet, "/status", header(number), nil)
				if code == http.StatusOK {
					if err := json.Unmarshal([]byte(text), &status); err != nil {
						t.Fatal(err)
					}
				}
				return code, status
			}
			if _, status := lookup(5); status.Seen {
				t.Errorf("status is %+v before any call", status)
			}
			code, _, _ := c.do(http.MethodPost, "/call", header(4), "x")
			if refused := code == http.StatusPreconditionFailed; refused != fenced {
				t.Errorf("call with number 4 after a lookup with 5 has status %d", code)
			}
			if code, _, _ := c.do(http.MethodPost, "/call", header(5), "x"); code != http.StatusOK {
				t.Errorf("call with number 5 has status %d", code)
			}
			if _, status := lookup(6); !status.Seen || !status.Finished || status.Output == "" {
				t.Errorf("status is %+v after the call", status)
			}
			if code, _ := lookup(3); fenced && code != http.StatusPreconditionFailed {
				t.Errorf("lookup with number 3 after 6 has status %d", code)
			}
		})
	}
}

func TestOrderContract(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		t.Run("fenced "+strconv.FormatBool(fenced), func(t *testing.T) {
			c := serveUpstream(t, NewUpstream(UpstreamConfig{Fenced: fenced}))
			c.do(http.MethodPost, "/order", nil, wire.Order{Number: 7, Action: "load", Model: "m", Version: "v2"})
			code, _, _ := c.do(http.MethodPost, "/order", nil, wire.Order{Number: 6, Action: "load", Model: "m", Version: "v1"})
			if refused := code == http.StatusPreconditionFailed; refused != fenced {
				t.Errorf("order with number 6 after 7 has status %d", code)
			}
			want := map[bool]string{true: "v2", false: "v1"}[fenced]
			if _, text, _ := c.do(http.MethodGet, "/model", nil, nil); !strings.Contains(text, `"version":"`+want+`"`) {
				t.Errorf("loaded model is %s, want version %s", text, want)
			}
		})
	}
}
