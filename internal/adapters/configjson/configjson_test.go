package configjson

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/configuration"
	"fescuespar/internal/errkind"
)

// newFullDeployment returns a deployment with every field set.
func newFullDeployment() core.Deployment {
	return core.Deployment{
		Name: "matcher", Kind: core.KindEngine, Service: "donkey-matcher", Adapter: "notes",
		Class: core.ClassRollout, Callers: []core.CallerName{"portal"},
		Limits:        core.Limits{Concurrent: 1, QueueLength: 2, QueueTimeout: 1500 * time.Millisecond, RequestTimeout: time.Minute},
		NonIdempotent: []core.CallPattern{{Method: "POST", PathPrefix: "/s"}},
		Rollout: &core.Rollout{Trainer: "t", Scorer: "s", Prompts: "p", GroupSize: 3, GroupsPerStep: 4,
			MaxTokens: 5, StalenessBound: 6, IdleWeight: 0.1},
		Fencing: true, Versions: core.VersionPolicy{Pinned: 1<<63 + 7},
	}
}

// requireNoZero checks that no field is zero: the loss of a zero field in a round
// trip would go unnoticed.
func requireNoZero(t *testing.T, v reflect.Value, path string) {
	t.Helper()
	switch v.Kind() {
	case reflect.Pointer:
		requireNoZero(t, v.Elem(), path)
	case reflect.Struct:
		for i := range v.NumField() {
			requireNoZero(t, v.Field(i), path+"."+v.Type().Field(i).Name)
		}
	default:
		if v.IsZero() {
			t.Errorf("field %s is zero", path)
		}
	}
}

func TestConfigurationRoundTripLosesNothing(t *testing.T) {
	want := core.Configuration{Generation: 9, Parent: 8, Operator: "vera", Deployments: []core.Deployment{newFullDeployment()}}
	requireNoZero(t, reflect.ValueOf(newFullDeployment()), "deployment")
	body, err := EncodeConfiguration(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeConfiguration(body)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, %v, want %+v", got, err, want)
	}
}

func TestPublishIsStrict(t *testing.T) {
	body, err := EncodePublish(PublishRequest{Base: 8, Operator: "vera", Deployments: []core.Deployment{newFullDeployment()}})
	if err != nil {
		t.Fatal(err)
	}
	valid := string(body)
	if _, err := DecodePublish(body); err != nil {
		t.Fatal(err)
	}
	tests := []struct{ name, body string }{
		{"truncated", valid[:len(valid)-1]},
		{"trailing data", valid + "{}"},
		{"unknown field", strings.Replace(valid, `"base"`, `"bass":1,"base"`, 1)},
		{"unknown class", strings.Replace(valid, `"class":"rollout"`, `"class":"urgent"`, 1)},
		{"duration without unit", strings.Replace(valid, `"1.5s"`, `"1.5"`, 1)},
		{"negative version", strings.Replace(valid, `"base":8`, `"base":-8`, 1)},
		{"no JSON", "base = 8"},
		{"no deployments", `{"base":8,"operator":"vera"}`},
		{"null deployments", `{"base":8,"operator":"vera","deployments":null}`},
		{"null", "null"},
	}
	for _, test := range tests {
		if _, err := DecodePublish([]byte(test.body)); !errkind.Is(err, errkind.BadRequest) {
			t.Errorf("%s: error %v, want %s", test.name, err, errkind.BadRequest)
		}
	}
}

// FuzzDecodePublish looks for an accepted body that changes when it is encoded and
// decoded again, or that makes the validation panic.
func FuzzDecodePublish(f *testing.F) {
	body, err := EncodePublish(PublishRequest{Base: 8, Operator: "vera", Deployments: []core.Deployment{newFullDeployment()}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add([]byte(`{"base":0,"operator":"","deployments":[]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := DecodePublish(body)
		if err != nil {
			if !errkind.Is(err, errkind.BadRequest) {
				t.Errorf("error %v, want %s", err, errkind.BadRequest)
			}
			return
		}
		configuration.Validate(request.Deployments)
		encoded, err := EncodePublish(request)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodePublish(encoded)
		if err != nil || !reflect.DeepEqual(decoded, request) {
			t.Errorf("decoded %+v; after encoding and decoding again %+v, %v", request, decoded, err)
		}
	})
}
