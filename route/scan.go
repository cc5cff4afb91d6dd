package route

import "strings"

// scanner splits SQL text into words and skips white space and comments. It handles
// quoting only as far as needed to find the end of a statement; it does not parse.
type scanner struct {
	text     string
	pos      int
	comments []string // texts of the block comments skipped so far
}

// next returns the next word, quoted text or single character, or "" at the end.
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

// skipSpaceAndComments skips white space and comments.
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

// skipBlockComment skips a block comment, which may contain nested ones, and records
// its text.
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

// skipQuoted skips text up to and including the closing quote q; a doubled quote is
// part of the text.
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

// skipEscaped skips the quoted part of an E'...' string, in which a backslash
// escapes the next character.
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

// skipDollarQuoted skips a $tag$...$tag$ string and reports whether there was one.
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

// Split splits text into statements at the semicolons outside of quotes and
// comments. Empty statements are omitted.
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
