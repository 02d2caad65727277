package opfile

import "strings"

// Format writes a file in the one form that all files should have: a tab for each
// block, one space between values, a statement a line, no more than one empty line
// at a time. Words, strings and comments stay as they were. What it has written it
// would write again.
func (f *File) Format() []byte {
	var b strings.Builder
	writeLines(&b, f.Lines, 0)
	return []byte(b.String())
}

func writeLines(b *strings.Builder, lines []*Line, depth int) {
	var empty, ended, any bool // an empty line is due; the last line has been ended; something is written
	begin := func() {
		if empty && any {
			b.WriteByte('\n')
		}
		b.WriteString(strings.Repeat("\t", depth))
		empty, ended, any = false, false, true
	}
	for _, l := range lines {
		switch {
		case l.Statement != nil:
			begin()
			l.Statement.write(b, depth)
		case l.Comment != "":
			begin()
			b.WriteString(trimComment(l.Comment))
			b.WriteByte('\n')
		case ended || !any:
			empty = true
		default:
			ended = true
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
	if s.Note != "" {
		b.WriteByte(' ')
		b.WriteString(trimComment(s.Note))
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
