package responsecheck

import (
	"bytes"
	"fmt"
	"net/http"
)

// readStatusLine reads a status line (RFC 9112, section 4). The blank before a missing
// reason may be missing too, as with many servers.
func (h *head) readStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	status, reason, _ := bytes.Cut(rest, []byte{' '})
	switch string(version) {
	case "HTTP/1.1":
		h.isHTTP11 = true
	case "HTTP/1.0":
	default:
		return fmt.Errorf("version in the status line %s", quoted(line))
	}
	if !isStatus(status) {
		return fmt.Errorf("status in the status line %s", quoted(line))
	}
	if !isText(reason) {
		return fmt.Errorf("reason in the status line %s", quoted(line))
	}
	h.status = int(status[0]-'0')*100 + int(status[1]-'0')*10 + int(status[2]-'0')
	if h.status == http.StatusSwitchingProtocols {
		return fmt.Errorf("status %d, and no request asks for it", h.status)
	}
	return nil
}

// isStatus reports whether a text is a status of one of the five classes that there are
// (RFC 9110, section 15).
func isStatus(text []byte) bool {
	return len(text) == 3 && '1' <= text[0] && text[0] <= '5' && isDigit(text[1]) && isDigit(text[2])
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isText reports whether a reason or a value has no control bytes but tabs (RFC 9110,
// section 5.5).
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
