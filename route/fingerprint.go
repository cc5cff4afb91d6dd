package route

import "strings"

// Fingerprint returns a statement's words without comments and with single
// blanks, so that tracing comments do not make a repeated request look new.
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
