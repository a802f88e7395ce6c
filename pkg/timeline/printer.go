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
var templateText string

//go:embed phrases.txt
var phrasesText string

var phrases = parsePhrases(phrasesText)

var sentenceTemplates = template.Must(template.New("story").Funcs(template.FuncMap{
	"phrase": Phrase,
	"num":    func(r *Record, name string) int64 { return r.InputValue(name) },
	"ms":     func(r *Record, name string) string { return fmt.Sprintf("%.1f", float64(r.InputValue(name))/1000) },
}).Parse(templateText))

func parsePhrases(text string) map[string]string {
	m := map[string]string{}
	for line := range strings.Lines(text) {
		if code, words, ok := strings.Cut(strings.TrimSpace(line), "\t"); ok && !strings.HasPrefix(line, "#") {
			m[code] = words
		}
	}
	return m
}

// Phrase returns the words that describe a code.
func Phrase(code string) string {
	if words, ok := phrases[code]; ok {
		return words
	}
	return strings.ReplaceAll(code, "_", " ")
}

// Sentence describes a record as the rest of a sentence that begins with the instance's name.
func Sentence(r *Record) string {
	return executeTemplate("event ", r.Kind, r)
}

// Sentence describes the finding in one sentence.
func (f Finding) Sentence() string {
	return executeTemplate("finding ", f.Kind, f)
}

// executeTemplate executes the template for a kind, or the fallback template of its group.
func executeTemplate(group, kind string, v any) string {
	t := sentenceTemplates.Lookup(group + kind)
	if t == nil {
		t = sentenceTemplates.Lookup(group + "fallback")
	}
	var b bytes.Buffer
	if err := t.Execute(&b, v); err != nil {
		return "(" + err.Error() + ")"
	}
	return ReplaceControlChars(b.String())
}

// ReplaceControlChars replaces control characters, so that a manipulated file cannot control the reader's terminal.
func ReplaceControlChars(text string) string {
	return strings.Map(func(c rune) rune {
		if unicode.IsControl(c) {
			return unicode.ReplacementChar
		}
		return c
	}, text)
}

// DisplayTimeLayout is the layout of times in printed records, in UTC.
const DisplayTimeLayout = "2006-01-02 15:04:05.000"

// WallTime returns the record's wall time.
func (r *Record) WallTime() time.Time { return time.Unix(0, r.Wall).UTC() }

// RequestPrinter prints the records of one request, passed in causal order, as plain sentences.
type RequestPrinter struct {
	// WriteLine is called with each line of output.
	WriteLine func(line string)

	first, last, terminal *Record
	events                int
	instances             map[string]bool
}

// Print prints one record.
func (p *RequestPrinter) Print(r *Record) {
	if p.first == nil {
		p.first, p.instances = r, map[string]bool{}
		p.WriteLine("Times are in UTC; those after + are seconds since the first line.")
	}
	p.events++
	p.instances[r.Instance] = true
	timestamp := fmt.Sprintf("%+9.3f s", r.WallTime().Sub(p.first.WallTime()).Seconds())
	if p.events == 1 {
		timestamp = r.WallTime().Format(DisplayTimeLayout)
	}
	source := r.Instance
	if r.Request != p.first.Request {
		source += " (request " + r.Request + ")"
	}
	p.WriteLine(timestamp + "  " + ReplaceControlChars(source) + " " + Sentence(r))
	p.last = r
	if r.Outcome != "" {
		p.terminal = r
	}
}

func countNoun(n int, noun string) string {
	if n != 1 {
		noun += "s"
	}
	return fmt.Sprintf("%d %s", n, noun)
}

// Finish prints how the request ended and reports whether there were any records.
func (p *RequestPrinter) Finish() bool {
	if p.first == nil {
		return false
	}
	elapsed := p.last.WallTime().Sub(p.first.WallTime())
	if p.terminal == nil {
		p.WriteLine(fmt.Sprintf("No outcome was recorded. The last line is from %s; what happened after it is unknown.", p.last.Instance))
	} else {
		t := p.terminal
		text := "In short: " + Phrase(t.Kind)
		if t.Why != "" {
			text += " (" + Phrase(t.Why) + ")"
		}
		p.WriteLine(ReplaceControlChars(text + "; " + Phrase(t.Outcome) + "."))
	}
	p.WriteLine(fmt.Sprintf("Told from %s of %s over %.3f s.", countNoun(p.events, "event"), countNoun(len(p.instances), "instance"), elapsed.Seconds()))
	return true
}
