package fleet

import (
	"math"
	"time"

	"github.com/jacinthrack/jacinthrack/dispatch"
	"github.com/jacinthrack/jacinthrack/peer/peerpb"
)

// rateUnits is the number of units of a rate in digests, per request per second.
const rateUnits = 1000

// encodeRateDemand converts a demand into the form of digests. The age of the limit is rounded up,
// so that the recipient does not assume a lower one.
func encodeRateDemand(d dispatch.RateDemand) *peerpb.ServerDemand {
	message := &peerpb.ServerDemand{ServerHash: d.ServerHash, DemandMilli: encodeRate(d.PerSecond)}
	if d.Limit != nil {
		limit := encodeRate(*d.Limit)
		message.LimitMilli, message.LimitAgeMs = &limit, uint32(min(d.LimitAge, time.Hour).Milliseconds())+1
	}
	return message
}

func encodeRate(perSecond float64) uint32 { return uint32(min(perSecond*rateUnits, math.MaxUint32)) }

func decodeRateDemand(message *peerpb.ServerDemand) dispatch.RateDemand {
	d := dispatch.RateDemand{ServerHash: message.GetServerHash(), PerSecond: float64(message.GetDemandMilli()) / rateUnits}
	if message.LimitMilli != nil {
		limit := float64(message.GetLimitMilli()) / rateUnits
		d.Limit, d.LimitAge = &limit, time.Duration(message.GetLimitAgeMs())*time.Millisecond
	}
	return d
}
