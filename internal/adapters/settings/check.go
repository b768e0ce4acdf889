package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"time"
)

func seedKey(i int) string { return fmt.Sprintf("peers.seeds[%d]", i) }

// checkAddress reports an address of this process that is not an IP:port.
func (l *loader) checkAddress(key, address string) {
	if address == "" {
		return
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		l.file.Report(key, strconv.Quote(address), "an IP number and a port, such as \"192.0.2.7:8080\"")
	}
}

// checkRemoteAddress reports an address that other processes cannot connect to:
// it must be an IP:port with a definite IP and port.
func (l *loader) checkRemoteAddress(key, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if l.file.Unreadable(key) || err == nil && parsed.Port() != 0 && !parsed.Addr().IsUnspecified() {
		return
	}
	l.file.Report(key, strconv.Quote(address), "an IP number and a port that others can connect to, such as \"192.0.2.7:8080\"")
}

// checkBaseURL reports a text that is not an http or https URL without a query.
func (l *loader) checkBaseURL(key, text string) {
	if text == "" {
		return
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.RawQuery != "" {
		l.file.Report(key, strconv.Quote(text), "an http or https URL without a query, such as \"http://192.0.2.7:9000\"")
	}
}

// checkConsistency reports combinations of keys that contradict each other.
func (l *loader) checkConsistency(s *Settings) {
	l.checkAdvertised("callers", s.Listen.Callers, s.Advertise.Callers)
	l.checkAdvertised("peers", s.Listen.Peers, s.Advertise.Peers)
	i := &s.Intervals
	l.checkAtMost("intervals.lease_renewal", i.LeaseRenewal, "intervals.lease_term", i.LeaseTerm, 2)
	l.checkAtMost("intervals.order_timeout", i.OrderTimeout, "intervals.lease_term", i.LeaseTerm, 1)
}

// checkAdvertised reports a missing advertised address when the process listens on
// every address of its VM, and an advertised one that others cannot connect to.
func (l *loader) checkAdvertised(name, listen, advertise string) {
	if advertise != "" {
		l.checkRemoteAddress("advertise."+name, advertise)
		return
	}
	bound, err := netip.ParseAddrPort(listen)
	if err == nil && bound.Addr().IsUnspecified() {
		l.file.Report("advertise."+name, fmt.Sprintf("no value, while listen.%s is %q", name, listen),
			"the address that others connect to")
	}
}

// checkAtMost reports an interval that is longer than the limit divided by divisor.
func (l *loader) checkAtMost(key string, interval time.Duration, limitKey string, limit time.Duration, divisor time.Duration) {
	if interval*divisor <= limit || l.file.Unreadable(key) || l.file.Unreadable(limitKey) {
		return
	}
	l.file.Report(key, interval.String(), fmt.Sprintf("at most %s, 1/%d of %s", limit/divisor, divisor, limitKey))
}
