package timeline

import (
	"bytes"
	_ "embed"
	"fmt"
	"strings"
	"text/template"
	"time"
	"unicode"
)

//go:embed story.tmpl
var storyText string

//go:embed phrases.txt
var phraseText string

var phrases = readPhrases(phraseText)

var sentences = template.Must(template.New("story").Funcs(template.FuncMap{
	"phrase": Phrase,
	"num":    func(r *Record, name string) int64 { return r.InputValue(name) },
	"ms":     func(r *Record, name string) string { return fmt.Sprintf("%.1f", float64(r.InputValue(name))/1000) },
}).Parse(storyText))

func readPhrases(text string) map[string]string {
	m := map[string]string{}
	for line := range strings.Lines(text) {
		if code, words, ok := strings.Cut(strings.TrimSpace(line), "\t"); ok && !strings.HasPrefix(line, "#") {
			m[code] = words
		}
	}
	return m
}

// Phrase returns the words for a code.
func Phrase(code string) string {
	if words, ok := phrases[code]; ok {
		return words
	}
	return strings.ReplaceAll(code, "_", " ")
}

// Sentence tells what a record says, as the rest of a sentence that begins with the instance's name.
func Sentence(r *Record) string {
	return fill("event ", r.Kind, r)
}

// Sentence tells what a finding says.
func (f Finding) Sentence() string {
	return fill("finding ", f.Kind, f)
}

// fill executes the template of a kind, or the fallback of its group.
func fill(group, kind string, v any) string {
	t := sentences.Lookup(group + kind)
	if t == nil {
		t = sentences.Lookup(group + "fallback")
	}
	var b bytes.Buffer
	if err := t.Execute(&b, v); err != nil {
		return "(" + err.Error() + ")"
	}
	return ReplaceControlChars(b.String())
}

// ReplaceControlChars replaces control characters, so that a changed file cannot control its reader's terminal.
func ReplaceControlChars(text string) string {
	return strings.Map(func(c rune) rune {
		if unicode.IsControl(c) {
			return unicode.ReplacementChar
		}
		return c
	}, text)
}

// DisplayTimeLayout is the form of times in stories, in UTC.
const DisplayTimeLayout = "2006-01-02 15:04:05.000"

// WallTime returns the record's wall time.
func (r *Record) WallTime() time.Time { return time.Unix(0, r.Wall).UTC() }

// RequestPrinter tells one request's records, which come in causal order, in plain sentences.
type RequestPrinter struct {
	// WriteLine is called with each line of the story.
	WriteLine func(line string)

	first, last, terminal *Record
	events                int
	instances             map[string]bool
}

// Print tells one record.
func (s *RequestPrinter) Print(r *Record) {
	if s.first == nil {
		s.first, s.instances = r, map[string]bool{}
		s.WriteLine("Times are in UTC; those after + are seconds since the first line.")
	}
	s.events++
	s.instances[r.Instance] = true
	at := fmt.Sprintf("%+9.3f s", r.WallTime().Sub(s.first.WallTime()).Seconds())
	if s.events == 1 {
		at = r.WallTime().Format(DisplayTimeLayout)
	}
	who := r.Instance
	if r.Request != s.first.Request {
		who += " (request " + r.Request + ")"
	}
	s.WriteLine(at + "  " + ReplaceControlChars(who) + " " + Sentence(r))
	s.last = r
	if r.Outcome != "" {
		s.terminal = r
	}
}

func count(n int, what string) string {
	if n != 1 {
		what += "s"
	}
	return fmt.Sprintf("%d %s", n, what)
}

// Finish tells how it ended and reports whether there was anything to tell.
func (s *RequestPrinter) Finish() bool {
	if s.first == nil {
		return false
	}
	took := s.last.WallTime().Sub(s.first.WallTime())
	if s.terminal == nil {
		s.WriteLine(fmt.Sprintf("No outcome was recorded. The last line is from %s; what happened after it is unknown.", s.last.Instance))
	} else {
		t := s.terminal
		text := "In short: " + Phrase(t.Kind)
		if t.Why != "" {
			text += " (" + Phrase(t.Why) + ")"
		}
		s.WriteLine(ReplaceControlChars(text + "; " + Phrase(t.Outcome) + "."))
	}
	s.WriteLine(fmt.Sprintf("Told from %s of %s over %.3f s.", count(s.events, "event"), count(len(s.instances), "instance"), took.Seconds()))
	return true
}
