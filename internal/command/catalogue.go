package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/operator"
	"bambooferry.example/bambooferry/internal/platform"
	"bambooferry.example/bambooferry/pkg/catalogue"
)

func runCatalogue(ctx context.Context, e Environment, args []string) error {
	code := dispatch(ctx, e, "bambooferry catalogue", []Subcommand{
		{"check", "check a file without a network", catalogueCheck},
		{"put", "make a file the next revision", cataloguePut},
		{"get", "print the catalogue, or one revision of it", catalogueGet},
		{"status", "show what is in force where, and how version changes stand", catalogueStatus},
		{"history", "list the newest revisions", catalogueHistory},
		{"diff", "show what changed between two revisions", catalogueDiff},
		{"revert", "make an earlier revision the next one", catalogueRevert},
	}, args)
	if code != exitOK {
		return &exitError{code}
	}
	return nil
}

// catalogueSettings are the settings of the subcommands that use the service.
type catalogueSettings struct {
	*settings
	service *netip.AddrPort
	author  *string
	asJSON  *bool
}

func newCatalogueSettings(e Environment, name, about string) *catalogueSettings {
	s := &catalogueSettings{settings: newSettings(e, "catalogue "+name, about)}
	s.service = s.address("platform", "", "`address` of the platform's key-value service")
	s.author = s.String("author", "", "`name` of the operator, which is kept with each revision")
	s.asJSON = s.Bool("json", false, "print JSON")
	s.check("platform", func() bool { return s.service.IsValid() }, "must be given")
	return s
}

func (s *catalogueSettings) editor() *operator.Editor {
	return &operator.Editor{
		Store:  &platform.Client{Address: *s.service, HTTP: &http.Client{}, Timeout: platformTimeout},
		Author: *s.author,
	}
}

// arg returns the only argument after the flags.
func (s *settings) arg(what string) (string, error) {
	if s.NArg() != 1 {
		return "", &SettingError{Flag: what, Value: fmt.Sprint(s.Args()), Rule: "give exactly one " + what + ", after the flags"}
	}
	return s.Arg(0), nil
}

func catalogueCheck(_ context.Context, e Environment, args []string) error {
	s := newSettings(e, "catalogue check", "Checks a catalogue FILE and names the first rule that it breaks.")
	if err := s.read(args); err != nil {
		return err
	}
	d, err := s.document()
	if err != nil {
		return err
	}
	fmt.Fprintf(e.Stdout, "%s is valid: %d entries, %d workspaces, edited from revision %d.\n", s.Arg(0), len(d.Entries), len(d.Workspaces), d.Revision)
	return nil
}

// document reads the catalogue file that the only argument names.
func (s *settings) document() (*catalogue.Document, error) {
	path, err := s.arg("FILE")
	if err != nil {
		return nil, err
	}
	return readDocument(s.env, path)
}

func readDocument(e Environment, path string) (*catalogue.Document, error) {
	data, err := []byte(nil), error(nil)
	if path == "-" {
		data, err = io.ReadAll(io.LimitReader(e.Stdin, catalogue.MaxDocumentBytes+1))
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, &SettingError{Flag: "FILE", Value: path, Rule: "must be a file that can be read"}
	}
	return catalogue.Decode(data)
}

func cataloguePut(ctx context.Context, e Environment, args []string) error {
	s := newCatalogueSettings(e, "put", "Makes FILE the next revision, if the revision that it was edited from is still the present one.")
	note := s.String("note", "", "what the edit is for, kept with the revision")
	s.check("author", func() bool { return *s.author != "" }, "must be given, so that each revision tells who put it")
	if err := s.read(args); err != nil {
		return err
	}
	d, err := s.document()
	if err != nil {
		return err
	}
	changes, err := s.editor().Put(ctx, time.Now(), d, *note)
	if err != nil {
		return s.conflict(e, err)
	}
	return s.accepted(e, d, changes)
}

func (s *catalogueSettings) accepted(e Environment, d *catalogue.Document, changes []catalogue.FieldChange) error {
	if *s.asJSON {
		return json.NewEncoder(e.Stdout).Encode(struct {
			Revision int64                   `json:"revision"`
			Changes  []catalogue.FieldChange `json:"changes"`
		}{d.Revision, changes})
	}
	fmt.Fprintf(e.Stdout, "revision %d is accepted\n", d.Revision)
	printChanges(e.Stdout, changes)
	return nil
}

// conflict prints the difference of a conflict before the error.
func (s *catalogueSettings) conflict(e Environment, err error) error {
	var c *operator.ConflictError
	if errors.As(err, &c) {
		fmt.Fprintf(e.Stdout, "not accepted; from revision %d to your file:\n", c.CurrentRevision)
		printChanges(e.Stdout, c.Changes)
	}
	return err
}

func printChanges(w io.Writer, changes []catalogue.FieldChange) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "  no difference")
	}
	for _, c := range changes {
		fmt.Fprintf(w, "  %s\n", c)
	}
}

func catalogueGet(ctx context.Context, e Environment, args []string) error {
	s := newCatalogueSettings(e, "get", "Prints the catalogue as JSON that can be edited and put.")
	revision := s.Int64("revision", 0, "`revision` to print; the present one if 0")
	if err := s.read(args); err != nil {
		return err
	}
	var d *catalogue.Document
	var err error
	if *revision > 0 {
		d, err = s.editor().Revision(ctx, *revision)
	} else {
		d, _, err = s.editor().Current(ctx)
	}
	if err != nil {
		return err
	}
	if d == nil {
		return errors.New("there is no catalogue yet; put one with revision 0")
	}
	enc := json.NewEncoder(e.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(d)
}

func catalogueHistory(ctx context.Context, e Environment, args []string) error {
	s := newCatalogueSettings(e, "history", "Lists the newest revisions, newest first: who put them, when and why.")
	n := s.Int("n", 20, "largest `number` of revisions")
	s.check("n", func() bool { return *n > 0 && *n <= operator.HistoryLimit }, fmt.Sprintf("must be from 1 to %d", operator.HistoryLimit))
	if err := s.read(args); err != nil {
		return err
	}
	list, err := s.editor().History(ctx, *n)
	for _, d := range list {
		put := catalogue.Edit{Author: "unknown"}
		if d.Edit != nil {
			put = *d.Edit
		}
		if *s.asJSON {
			_ = json.NewEncoder(e.Stdout).Encode(struct {
				Revision int64          `json:"revision"`
				Put      catalogue.Edit `json:"put"`
			}{d.Revision, put})
			continue
		}
		fmt.Fprintf(e.Stdout, "%6d  %s  %-16s %s\n", d.Revision, put.At.Format(time.RFC3339), put.Author, put.Note)
	}
	return err
}

func catalogueDiff(ctx context.Context, e Environment, args []string) error {
	s := newCatalogueSettings(e, "diff", "Shows what changed between two revisions, or between the present one and FILE.")
	from := s.Int64("from", 0, "older `revision`; the one before -to if 0")
	to := s.Int64("to", 0, "newer `revision`; the present one if 0")
	if err := s.read(args); err != nil {
		return err
	}
	a, b, err := s.sides(ctx, e, *from, *to)
	if err != nil {
		return err
	}
	changes := catalogue.Diff(a, b)
	if *s.asJSON {
		return json.NewEncoder(e.Stdout).Encode(changes)
	}
	printChanges(e.Stdout, changes)
	return nil
}

// sides reads the two documents that a diff compares.
func (s *catalogueSettings) sides(ctx context.Context, e Environment, from, to int64) (a, b *catalogue.Document, err error) {
	ed := s.editor()
	current, _, err := ed.Current(ctx)
	if err != nil || current == nil {
		return nil, nil, errors.CombineErrors(err, errors.New("there is no catalogue yet"))
	}
	if s.NArg() == 1 {
		b, err = readDocument(e, s.Arg(0))
		return current, b, err
	}
	if to == 0 {
		to = current.Revision
	}
	if from == 0 {
		from = to - 1
	}
	if a, err = ed.Revision(ctx, from); err != nil {
		return nil, nil, err
	}
	b, err = ed.Revision(ctx, to)
	return a, b, err
}

func catalogueRevert(ctx context.Context, e Environment, args []string) error {
	s := newCatalogueSettings(e, "revert", "Makes the content of REVISION the next revision; revisions only go forward.")
	s.check("author", func() bool { return *s.author != "" }, "must be given, so that each revision tells who put it")
	if err := s.read(args); err != nil {
		return err
	}
	text, err := s.arg("REVISION")
	if err != nil {
		return err
	}
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 1 {
		return &SettingError{Flag: "REVISION", Value: text, Rule: "must be a number from 1"}
	}
	d, changes, err := s.editor().Revert(ctx, time.Now(), revision)
	if err != nil {
		return s.conflict(e, err)
	}
	return s.accepted(e, d, changes)
}
