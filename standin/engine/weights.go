package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"fescuespar/internal/adapters/sendonce"
	"fescuespar/internal/core"
	"fescuespar/standin/platform"
)

// FetchWeightsFrom returns a function for Options.FetchWeights that downloads
// the weights of a deployment from the weight store at a base URL, as a reader
// in the given region.
func FetchWeightsFrom(base string, region core.RegionName, deployment core.DeploymentName) func(context.Context, core.WeightVersion) error {
	client := sendonce.NewClient(sendonce.New(&http.Transport{}), 0)
	return func(ctx context.Context, version core.WeightVersion) error {
		target := base + "/weights/" + url.PathEscape(string(deployment)) + "/" + strconv.FormatUint(uint64(version), 10)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
		if err != nil {
			return err
		}
		request.Header.Set(platform.RegionHeader, string(region))
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("weight store returned status %s", response.Status)
		}
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
}
