package configjson

import (
	"bytes"
	"encoding/json"
	"io"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Configuration is the JSON form of core.Configuration: the answer to
// GET /v1/configuration and the content of a configuration's object.
type Configuration struct {
	Generation  uint64       `json:"generation"`
	Parent      uint64       `json:"parent"`
	Operator    string       `json:"operator"`
	Deployments []Deployment `json:"deployments"`
}

// Publish is the body of POST /v1/configuration.
type Publish struct {
	Base        uint64       `json:"base"`
	Operator    string       `json:"operator"` // as given by the sender; the service records the token's name
	Deployments []Deployment `json:"deployments"`
}

// Published is the answer to an accepted POST /v1/configuration.
type Published struct {
	Generation uint64 `json:"generation"`
	Operator   string `json:"operator"` // as recorded
}

// PublishRequest is the decoded form of Publish.
type PublishRequest struct {
	Base        core.Generation
	Operator    string
	Deployments []core.Deployment
}

// EncodeConfiguration encodes a configuration as JSON.
func EncodeConfiguration(c core.Configuration) ([]byte, error) {
	wire := Configuration{
		Generation:  uint64(c.Generation),
		Parent:      uint64(c.Parent),
		Operator:    c.Operator,
		Deployments: FromDeployments(c.Deployments),
	}
	return marshal(wire)
}

// DecodeConfiguration decodes a configuration from JSON. Unknown fields are
// ignored, since a later release may have written them. Errors: BadRequest.
func DecodeConfiguration(body []byte) (core.Configuration, error) {
	var wire Configuration
	if err := json.Unmarshal(body, &wire); err != nil {
		return core.Configuration{}, errkind.Wrap(errkind.BadRequest, err, "decode configuration")
	}
	deployments, err := ToDeployments(wire.Deployments)
	if err != nil {
		return core.Configuration{}, err
	}
	return core.Configuration{
		Generation:  core.Generation(wire.Generation),
		Parent:      core.Generation(wire.Parent),
		Operator:    wire.Operator,
		Deployments: deployments,
	}, nil
}

// EncodePublish encodes a publish request as JSON.
func EncodePublish(r PublishRequest) ([]byte, error) {
	return marshal(Publish{
		Base:        uint64(r.Base),
		Operator:    r.Operator,
		Deployments: FromDeployments(r.Deployments),
	})
}

// DecodePublish decodes a publish request from JSON. Unknown fields, data after
// the JSON value and a missing list of deployments are rejected. Errors:
// BadRequest.
func DecodePublish(body []byte) (PublishRequest, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var wire Publish
	if err := decoder.Decode(&wire); err != nil {
		return PublishRequest{}, errkind.Wrap(errkind.BadRequest, err, "decode publish request")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return PublishRequest{}, errkind.New(errkind.BadRequest, "decode publish request: data after the JSON value")
	}
	if wire.Deployments == nil {
		return PublishRequest{}, errkind.New(errkind.BadRequest,
			"decode publish request: deployments is missing or null; to remove all deployments, send an empty list")
	}
	deployments, err := ToDeployments(wire.Deployments)
	if err != nil {
		return PublishRequest{}, err
	}
	return PublishRequest{
		Base:        core.Generation(wire.Base),
		Operator:    wire.Operator,
		Deployments: deployments,
	}, nil
}

func marshal(wire any) ([]byte, error) {
	body, err := json.Marshal(wire)
	return body, errkind.Wrap(errkind.Internal, err, "encode JSON")
}
