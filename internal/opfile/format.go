package opfile

import "strings"

// Format returns the file in canonical form: a tab for each block level, one space between values, one statement per
// line, and at most one empty line in a row. Words, strings and comments are unchanged. Formatting the result again
// changes nothing.
func (f *File) Format() []byte {
	var b strings.Builder
	writeLines(&b, f.Lines, 0)
	return []byte(b.String())
}

func writeLines(b *strings.Builder, lines []*Line, depth int) {
	// An empty line goes before the next line; the previous line has ended; the block is not empty.
	var emptyLineDue, lastLineEnded, written bool
	startLine := func() {
		if emptyLineDue && written {
			b.WriteByte('\n')
		}
		b.WriteString(strings.Repeat("\t", depth))
		emptyLineDue, lastLineEnded, written = false, false, true
	}
	for _, l := range lines {
		switch {
		case l.Statement != nil:
			startLine()
			l.Statement.write(b, depth)
		case l.Comment != "":
			startLine()
			b.WriteString(trimComment(l.Comment))
			b.WriteByte('\n')
		case lastLineEnded || !written:
			emptyLineDue = true
		default:
			lastLineEnded = true
		}
	}
}

func (s *Statement) write(b *strings.Builder, depth int) {
	b.WriteString(s.Name)
	for _, v := range s.Values {
		b.WriteByte(' ')
		b.WriteString(v.String())
	}
	if s.Block != nil {
		b.WriteString(" {")
		if len(Statements(s.Block.Lines)) > 0 || hasComment(s.Block.Lines) {
			b.WriteByte('\n')
			writeLines(b, s.Block.Lines, depth+1)
			b.WriteString(strings.Repeat("\t", depth))
		}
		b.WriteByte('}')
	}
	if s.TrailingComment != "" {
		b.WriteByte(' ')
		b.WriteString(trimComment(s.TrailingComment))
	}
	b.WriteByte('\n')
}

func hasComment(lines []*Line) bool {
	for _, l := range lines {
		if l.Comment != "" {
			return true
		}
	}
	return false
}

func trimComment(s string) string { return strings.TrimRight(s, " \t\r") }
