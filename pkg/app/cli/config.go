package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"ironhollow/pkg/fleet"
	"ironhollow/pkg/operatorapi/operatorwire"
	"ironhollow/pkg/settings"
	"ironhollow/schema"
)

// checkResult is the result of the check command.
type checkResult struct {
	File     string `json:"file"`
	Sections int    `json:"sections"`
}

func (t *tool) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration file; all errors are listed",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			sections, err := readFile(args[0])
			if err != nil {
				return err
			}
			return t.print(checkResult{args[0], len(sections)}, func(w io.Writer) {
				writeRow(w, fmt.Sprintf("%s: good, %d sections", args[0], len(sections)))
			})
		},
	}
}

func (t *tool) defaultsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "defaults",
		Short: "Print every key of a configuration with its meaning, range and default",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			configSchema, err := settings.ParseSchema(schema.Fleet)
			if err != nil {
				return err
			}
			_, err = io.WriteString(t.out, configSchema.Defaults())
			return err
		},
	}
}

// sectionChange is one section in the result of the diff command.
type sectionChange struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Change string `json:"change"`
}

func sectionChanges(old, updated []fleet.Section) []sectionChange {
	oldIDs := map[string]bool{}
	for _, s := range old {
		oldIDs[s.ID()] = true
	}
	changes := []sectionChange{}
	for _, s := range fleet.Diff(old, updated) {
		change := "added"
		switch {
		case s.IsRemoval():
			change = "removed"
		case oldIDs[s.ID()]:
			change = "changed"
		}
		changes = append(changes, sectionChange{s.Kind(), s.Name(), change})
	}
	return changes
}

// diffResult is the result of the diff command.
type diffResult struct {
	Revision int64           `json:"revision"`
	Changes  []sectionChange `json:"changes"`
}

func (t *tool) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show what applying a file would change; exit code 5 if anything",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			sections, err := readFile(args[0])
			if err != nil {
				return err
			}
			client, err := t.client()
			if err != nil {
				return err
			}
			revision, old, err := client.Config(command.Context())
			if err != nil {
				return err
			}
			changes := sectionChanges(old, sections)
			err = t.print(diffResult{revision, changes}, func(w io.Writer) {
				writeRow(w, "revision in force:", revision)
				for _, c := range changes {
					writeRow(w, c.Change, c.Kind, c.Name)
				}
			})
			if err == nil && len(changes) > 0 {
				return errDiffers
			}
			return err
		},
	}
}

func (t *tool) applyCommand() *cobra.Command {
	var seenRevision int64
	command := &cobra.Command{
		Use:   "apply FILE",
		Short: "Put a configuration file in force, as a whole",
		Long: "Put a configuration file in force, as a whole. It is applied on the revision seen;\n" +
			"if another operator was faster, nothing is changed and the other revision is named (exit code 3).",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			sections, err := readFile(args[0])
			if err != nil {
				return err
			}
			client, err := t.client()
			if err != nil {
				return err
			}
			if seenRevision < 0 {
				if seenRevision, _, err = client.Config(command.Context()); err != nil {
					return err
				}
			}
			revision, err := client.Apply(command.Context(), seenRevision, sections)
			if err != nil {
				return err
			}
			return t.print(operatorwire.ApplyResponse{Revision: revision}, func(w io.Writer) {
				writeRow(w, fmt.Sprintf("revision %d is in force", revision))
			})
		},
	}
	command.Flags().Int64Var(&seenRevision, "seen", -1, "revision the file was made from; left out, the one in force now")
	return command
}

func (t *tool) getCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "get",
		Short: "Show the configuration in force",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := t.client()
			if err != nil {
				return err
			}
			revision, sections, err := client.Config(command.Context())
			if err != nil {
				return err
			}
			value := operatorwire.Config{Revision: revision, Sections: operatorwire.FromSections(sections)}
			return t.print(value, func(w io.Writer) {
				writeRow(w, "revision", revision)
				for _, s := range sections {
					writeRow(w, s.Kind(), s.Name(), s.Body())
				}
			})
		},
	}
}
