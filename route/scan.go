package route

import "strings"

// scanner cuts SQL text into words, skipping white space and comments. It knows
// quoting well enough to find the end of a statement; it does not parse.
type scanner struct {
	text     string
	pos      int
	comments []string // texts of the block comments passed over
}

// next returns the next word, quoted text or single sign, or "" at the end.
func (s *scanner) next() string {
	s.skipSpaceAndComments()
	if s.pos >= len(s.text) {
		return ""
	}
	start := s.pos
	c := s.text[s.pos]
	switch {
	case c == '\'' || c == '"':
		s.skipQuoted(c)
	case c == '$' && s.skipDollarQuoted():
	case isWordByte(c):
		for s.pos < len(s.text) && isWordByte(s.text[s.pos]) {
			s.pos++
		}
		if s.pos < len(s.text) && s.text[s.pos] == '\'' && strings.EqualFold(s.text[start:s.pos], "e") {
			s.skipEscaped()
		}
	default:
		s.pos++
	}
	return s.text[start:s.pos]
}

func isWordByte(c byte) bool {
	return c == '_' || c == '.' || c >= 0x80 ||
		c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

// skip passes white space and comments.
func (s *scanner) skipSpaceAndComments() {
	for s.pos < len(s.text) {
		rest := s.text[s.pos:]
		switch {
		case strings.HasPrefix(rest, "--"):
			if n := strings.IndexByte(rest, '\n'); n >= 0 {
				s.pos += n + 1
			} else {
				s.pos = len(s.text)
			}
		case strings.HasPrefix(rest, "/*"):
			s.skipBlockComment()
		case strings.IndexByte(" \t\r\n\f\v", rest[0]) >= 0:
			s.pos++
		default:
			return
		}
	}
}

// block passes a block comment, which may hold others.
func (s *scanner) skipBlockComment() {
	start, depth := s.pos, 0
	for s.pos < len(s.text) {
		rest := s.text[s.pos:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			s.pos += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			s.pos += 2
		default:
			s.pos++
		}
		if depth == 0 {
			s.comments = append(s.comments, s.text[start+2:s.pos-2])
			return
		}
	}
}

// quoted passes text up to the closing quote; a doubled quote stays inside.
func (s *scanner) skipQuoted(q byte) {
	s.pos++
	for s.pos < len(s.text) {
		if s.text[s.pos] == q {
			s.pos++
			if s.pos >= len(s.text) || s.text[s.pos] != q {
				return
			}
		}
		s.pos++
	}
}

// escaped passes an E'...' string, in which a backslash quotes.
func (s *scanner) skipEscaped() {
	s.pos++
	for s.pos < len(s.text) {
		switch s.text[s.pos] {
		case '\\':
			s.pos++
		case '\'':
			s.pos++
			return
		}
		s.pos++
	}
	s.pos = len(s.text)
}

// dollar passes a $tag$...$tag$ string and reports whether there was one.
func (s *scanner) skipDollarQuoted() bool {
	rest := s.text[s.pos:]
	n := strings.IndexByte(rest[1:], '$')
	if n < 0 {
		return false
	}
	tag := rest[:n+2]
	for i := 1; i < len(tag)-1; i++ {
		if !isWordByte(tag[i]) || tag[i] == '.' || i == 1 && tag[i] >= '0' && tag[i] <= '9' {
			return false
		}
	}
	end := strings.Index(rest[len(tag):], tag)
	if end < 0 {
		s.pos = len(s.text)
		return true
	}
	s.pos += len(tag)*2 + end
	return true
}

// Split cuts text into its statements at the semicolons outside of quotes and
// comments. Empty statements are left out.
func Split(text string) []string {
	var list []string
	s := scanner{text: text}
	start, words := 0, 0
	for {
		w := s.next()
		if w != "" && w != ";" {
			words++
			continue
		}
		if words > 0 {
			list = append(list, strings.TrimSpace(strings.TrimSuffix(text[start:s.pos], ";")))
		}
		if w == "" {
			return list
		}
		start, words = s.pos, 0
	}
}
