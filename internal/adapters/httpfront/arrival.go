package httpfront

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/kataras/iris/v12"

	"fescuespar/internal/errkind"
)

// boundArrival sets a deadline for the arrival of a request's body, whether a
// handler reads it or the server discards it. The connection is closed when
// the body comes later. Requests without a body get none: the server watches
// their connections for the sender's leaving, which a deadline would feign.
func (f *Front) boundArrival(ctx iris.Context) {
	body := ctx.Request().Body
	if body == nil || body == http.NoBody || f.options.ArrivalTimeout <= 0 {
		ctx.Next()
		return
	}
	controller := http.NewResponseController(ctx.ResponseWriter().Naive())
	if err := controller.SetReadDeadline(time.Now().Add(f.options.ArrivalTimeout)); err != nil {
		WriteError(ctx, errkind.Wrap(errkind.Internal, err, "bounding the arrival of the body"))
		return
	}
	ctx.Request().Body = &arrivingBody{ReadCloser: body, controller: controller}
	ctx.Next()
}

// arrivingBody lifts the deadline of the connection when the body has arrived,
// so that it does not end the wait for a long answer.
type arrivingBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read implements io.Reader.
func (b *arrivingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// late reports whether a body could not be read because it came too late.
func late(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
