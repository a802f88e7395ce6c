package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
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
		{"status", "show the revision in force at each instance and the state of version changes", catalogueStatus},
		{"history", "list the newest revisions", catalogueHistory},
		{"diff", "show what changed between two revisions", catalogueDiff},
		{"revert", "make an earlier revision the next one", catalogueRevert},
	}, args)
	if code != exitOK {
		return &exitError{code}
	}
	return nil
}

// catalogueSettings holds the settings of the subcommands that use the key-value service.
type catalogueSettings struct {
	*settings
	service *netip.AddrPort
	author  *string
	asJSON  *bool
}

func newCatalogueSettings(e Environment, name, description string) *catalogueSettings {
	s := &catalogueSettings{settings: newSettings(e, "catalogue "+name, description)}
	s.service = s.addressFlag("platform", "", "`address` of the platform's key-value service")
	s.author = s.String("author", "", "`name` of the operator, recorded with each revision")
	s.asJSON = s.Bool("json", false, "print JSON")
	s.addCheck("platform", func() bool { return s.service.IsValid() }, "must be given")
	return s
}

func (s *catalogueSettings) editor() *operator.Editor {
	return &operator.Editor{
		Store:  &platform.Client{Address: *s.service, HTTP: platform.NewHTTPClient(), Timeout: platformTimeout},
		Author: *s.author,
	}
}

// singleArg returns the only argument after the flags, or an error if there is not exactly one.
func (s *settings) singleArg(argName string) (string, error) {
	if s.NArg() != 1 {
		return "", &SettingError{Flag: argName, Value: fmt.Sprint(s.Args()), Rule: "give exactly one " + argName + ", after the flags"}
	}
	return s.Arg(0), nil
}

func catalogueCheck(_ context.Context, e Environment, args []string) error {
	s := newSettings(e, "catalogue check", "Checks a catalogue FILE and reports the first rule that it breaks.")
	if err := s.parseAndCheck(args); err != nil {
		return err
	}
	d, err := s.readDocumentArg()
	if err != nil {
		return err
	}
	fmt.Fprintf(e.Stdout, "%s is valid: %d entries, %d workspaces, edited from revision %d.\n", s.Arg(0), len(d.Entries), len(d.Workspaces), d.Revision)
	return nil
}

// readDocumentArg reads the catalogue file named by the only argument.
func (s *settings) readDocumentArg() (*catalogue.Document, error) {
	path, err := s.singleArg("FILE")
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
		return nil, &SettingError{Flag: "FILE", Value: path, Rule: "must be a readable file"}
	}
	return catalogue.Decode(data)
}

func cataloguePut(ctx context.Context, e Environment, args []string) error {
	s := newCatalogueSettings(e, "put", "Makes FILE the next revision, if the revision that it is based on is still the current one.")
	note := s.String("note", "", "purpose of the edit, recorded with the revision")
	s.addCheck("author", func() bool { return *s.author != "" }, "must be given, so that each revision records its author")
	if err := s.parseAndCheck(args); err != nil {
		return err
	}
	d, err := s.readDocumentArg()
	if err != nil {
		return err
	}
	changes, err := s.editor().Put(ctx, time.Now(), d, *note)
	if err != nil {
		return s.printConflict(e, err)
	}
	return s.printAccepted(e, d, changes)
}

func (s *catalogueSettings) printAccepted(e Environment, d *catalogue.Document, changes []catalogue.FieldChange) error {
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

// printConflict prints the differences if err is a conflict, and returns err.
func (s *catalogueSettings) printConflict(e Environment, err error) error {
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
	s := newCatalogueSettings(e, "get", "Prints the catalogue as JSON, which can be edited and put.")
	revision := s.Int64("revision", 0, "`revision` to print; the current one if 0")
	if err := s.parseAndCheck(args); err != nil {
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
	s := newCatalogueSettings(e, "history", "Lists the newest revisions, newest first, with their authors, times and notes.")
	n := s.Int("n", 20, "largest `number` of revisions")
	s.addCheck("n", func() bool { return *n > 0 && *n <= operator.HistoryLimit }, fmt.Sprintf("must be from 1 to %d", operator.HistoryLimit))
	if err := s.parseAndCheck(args); err != nil {
		return err
	}
	list, err := s.editor().History(ctx, *n)
	for _, d := range list {
		edit := catalogue.Edit{Author: "unknown"}
		if d.Edit != nil {
			edit = *d.Edit
		}
		if *s.asJSON {
			_ = json.NewEncoder(e.Stdout).Encode(struct {
				Revision int64          `json:"revision"`
				Edit     catalogue.Edit `json:"put"`
			}{d.Revision, edit})
			continue
		}
		fmt.Fprintf(e.Stdout, "%6d  %s  %-16s %s\n", d.Revision, edit.At.Format(time.RFC3339), edit.Author, edit.Note)
	}
	return err
}

func catalogueDiff(ctx context.Context, e Environment, args []string) error {
	s := newCatalogueSettings(e, "diff", "Shows the differences between two revisions, or between the current one and FILE.")
	from := s.Int64("from", 0, "older `revision`; the one before -to if 0")
	to := s.Int64("to", 0, "newer `revision`; the current one if 0")
	if err := s.parseAndCheck(args); err != nil {
		return err
	}
	older, newer, err := s.readDiffDocuments(ctx, e, *from, *to)
	if err != nil {
		return err
	}
	changes := catalogue.Diff(older, newer)
	if *s.asJSON {
		return json.NewEncoder(e.Stdout).Encode(changes)
	}
	printChanges(e.Stdout, changes)
	return nil
}

// readDiffDocuments returns the two documents that a diff compares.
func (s *catalogueSettings) readDiffDocuments(ctx context.Context, e Environment, from, to int64) (older, newer *catalogue.Document, err error) {
	editor := s.editor()
	current, _, err := editor.Current(ctx)
	if err != nil || current == nil {
		return nil, nil, errors.CombineErrors(err, errors.New("there is no catalogue yet"))
	}
	if s.NArg() == 1 {
		newer, err = readDocument(e, s.Arg(0))
		return current, newer, err
	}
	if to == 0 {
		to = current.Revision
	}
	if from == 0 {
		from = to - 1
	}
	if older, err = editor.Revision(ctx, from); err != nil {
		return nil, nil, err
	}
	newer, err = editor.Revision(ctx, to)
	return older, newer, err
}

func catalogueRevert(ctx context.Context, e Environment, args []string) error {
	s := newCatalogueSettings(e, "revert", "Makes the content of REVISION the next revision; revision numbers only increase.")
	s.addCheck("author", func() bool { return *s.author != "" }, "must be given, so that each revision records its author")
	if err := s.parseAndCheck(args); err != nil {
		return err
	}
	text, err := s.singleArg("REVISION")
	if err != nil {
		return err
	}
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 1 {
		return &SettingError{Flag: "REVISION", Value: text, Rule: "must be a number from 1"}
	}
	d, changes, err := s.editor().Revert(ctx, time.Now(), revision)
	if err != nil {
		return s.printConflict(e, err)
	}
	return s.printAccepted(e, d, changes)
}
