package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"time"
)

func seedKey(i int) string { return fmt.Sprintf("peers.seeds[%d]", i) }

// address checks an IP:port that this process binds or advertises.
func (l *loader) address(key, address string) {
	if address == "" {
		return
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		l.file.Report(key, strconv.Quote(address), "an IP number and a port, such as \"192.0.2.7:8080\"")
	}
}

// remoteAddress checks an IP:port that others connect to.
func (l *loader) remoteAddress(key, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if l.file.Unreadable(key) || err == nil && parsed.Port() != 0 && !parsed.Addr().IsUnspecified() {
		return
	}
	l.file.Report(key, strconv.Quote(address), "an IP number and a port that others can connect to, such as \"192.0.2.7:8080\"")
}

func (l *loader) baseURL(key, text string) {
	if text == "" {
		return
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.RawQuery != "" {
		l.file.Report(key, strconv.Quote(text), "an http or https URL without a query, such as \"http://192.0.2.7:9000\"")
	}
}

// consistency checks what several keys together can get wrong.
func (l *loader) consistency(s *Settings) {
	l.advertised("callers", s.Listen.Callers, s.Advertise.Callers)
	l.advertised("peers", s.Listen.Peers, s.Advertise.Peers)
	i := &s.Intervals
	l.atMost("intervals.lease_renewal", i.LeaseRenewal, "intervals.lease_term", i.LeaseTerm, 2)
	l.atMost("intervals.order_timeout", i.OrderTimeout, "intervals.lease_term", i.LeaseTerm, 1)
}

// advertised requires an address that others can connect to when the process
// listens on every address of its VM.
func (l *loader) advertised(name, listen, advertise string) {
	if advertise != "" {
		l.remoteAddress("advertise."+name, advertise)
		return
	}
	bound, err := netip.ParseAddrPort(listen)
	if err == nil && bound.Addr().IsUnspecified() {
		l.file.Report("advertise."+name, fmt.Sprintf("nothing, while listen.%s is %q", name, listen),
			"the address that others connect to")
	}
}

// atMost requires that the first interval times parts fits into the second.
func (l *loader) atMost(key string, interval time.Duration, wholeKey string, whole time.Duration, parts time.Duration) {
	if interval*parts <= whole || l.file.Unreadable(key) || l.file.Unreadable(wholeKey) {
		return
	}
	l.file.Report(key, interval.String(), fmt.Sprintf("at most %s, 1/%d of %s", whole/parts, parts, wholeKey))
}
