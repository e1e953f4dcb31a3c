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

// checked is check's answer.
type checked struct {
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
			return t.print(checked{args[0], len(sections)}, func(w io.Writer) {
				row(w, fmt.Sprintf("%s: good, %d sections", args[0], len(sections)))
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
			shape, err := settings.ParseSchema(schema.Fleet)
			if err != nil {
				return err
			}
			_, err = io.WriteString(t.out, shape.Defaults())
			return err
		},
	}
}

// difference is one line of a diff.
type difference struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Change string `json:"change"`
}

func differences(old, next []fleet.Section) []difference {
	before := map[string]bool{}
	for _, s := range old {
		before[s.ID()] = true
	}
	list := []difference{}
	for _, s := range fleet.Diff(old, next) {
		change := "added"
		switch {
		case s.IsRemoval():
			change = "removed"
		case before[s.ID()]:
			change = "changed"
		}
		list = append(list, difference{s.Kind(), s.Name(), change})
	}
	return list
}

// diffed is diff's answer.
type diffed struct {
	Revision int64        `json:"revision"`
	Changes  []difference `json:"changes"`
}

func (t *tool) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show what applying a file would change; exit code 5 if anything",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			next, err := readFile(args[0])
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
			changes := differences(old, next)
			err = t.print(diffed{revision, changes}, func(w io.Writer) {
				row(w, "revision in force:", revision)
				for _, c := range changes {
					row(w, c.Change, c.Kind, c.Name)
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
	var seen int64
	command := &cobra.Command{
		Use:   "apply FILE",
		Short: "Put a configuration file in force, as a whole",
		Long: "Put a configuration file in force, as a whole. It is applied on the revision seen;\n" +
			"if another operator was faster, nothing is changed and the other revision is named (exit code 3).",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			next, err := readFile(args[0])
			if err != nil {
				return err
			}
			client, err := t.client()
			if err != nil {
				return err
			}
			if seen < 0 {
				if seen, _, err = client.Config(command.Context()); err != nil {
					return err
				}
			}
			revision, err := client.Apply(command.Context(), seen, next)
			if err != nil {
				return err
			}
			return t.print(operatorwire.ApplyResponse{Revision: revision}, func(w io.Writer) {
				row(w, fmt.Sprintf("revision %d is in force", revision))
			})
		},
	}
	command.Flags().Int64Var(&seen, "seen", -1, "revision the file was made from; left out, the one in force now")
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
				row(w, "revision", revision)
				for _, s := range sections {
					row(w, s.Kind(), s.Name(), s.Body())
				}
			})
		},
	}
}
