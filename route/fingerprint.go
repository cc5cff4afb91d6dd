package route

import "strings"

// Fingerprint returns a statement's text without comments and with single spaces
// between words, so that a repeated request with different tracing comments has the
// same fingerprint.
func Fingerprint(text string) string {
	s := scanner{text: text}
	var b strings.Builder
	for w := s.next(); w != ""; w = s.next() {
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(w)
	}
	return b.String()
}
