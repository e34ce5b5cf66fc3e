package forward

import (
	"context"
	"io"

	"github.com/jacinthrack/jacinthrack/internal/sleep"
)

// paced returns src slowed down to the link budget of a server in another region,
// or src itself within the region.
func paced(ctx context.Context, src io.Reader, pick *PickedServer, upload bool) io.Reader {
	if pick.Charge == nil {
		return src
	}
	return &pacedReader{ctx: ctx, src: src, pick: pick, upload: upload}
}

// pacedReader waits after each piece, so that transfers share a link that other
// entry instances use as well.
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
