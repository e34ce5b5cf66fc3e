package forward

import (
	"context"
	"io"

	"github.com/jacinthrack/jacinthrack/internal/sleep"
)

// pacedBody returns a reader of src whose rate is limited by the budget of the link to the
// region of the picked server, or src itself for a server of this region. upload is true for
// the request body and false for the response body.
func pacedBody(ctx context.Context, src io.Reader, pick *PickedServer, upload bool) io.Reader {
	if pick.Charge == nil {
		return src
	}
	return &pacedReader{ctx: ctx, src: src, pick: pick, upload: upload}
}

// pacedReader waits after each read for as long as PickedServer.Charge says, so that the
// transfer stays within its part of a link that other entry instances use as well.
type pacedReader struct {
	ctx    context.Context
	src    io.Reader
	pick   *PickedServer
	upload bool
}

// Read implements io.Reader.
func (p *pacedReader) Read(buf []byte) (int, error) {
	n, err := p.src.Read(buf)
	if n == 0 {
		return n, err
	}
	wait := p.pick.Charge(p.upload, n)
	if err == nil && sleep.For(p.ctx, wait) != nil {
		return n, p.ctx.Err()
	}
	return n, err
}
