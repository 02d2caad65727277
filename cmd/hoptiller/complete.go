package main

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

// completionCmd writes a shell completion script.
type completionCmd struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"bash, zsh or fish."`
}

// Run writes the script. It is generated from the command definitions, so that it is always up to date.
func (c *completionCmd) Run(k *kong.Context) error {
	name := k.Model.Name
	var commands []string
	var cases, fish strings.Builder
	for _, node := range k.Model.Children {
		if node.Hidden {
			continue
		}
		commands = append(commands, node.Name)
		var flags []string
		for _, group := range node.AllFlags(true) {
			for _, f := range group {
				flags = append(flags, "--"+f.Name)
				fmt.Fprintf(&fish, "complete -c %s -n '__fish_seen_subcommand_from %s' -l %s -d %q\n", name, node.Name, f.Name, f.Help)
			}
		}
		fmt.Fprintf(&cases, "        %s) words=%q ;;\n", node.Name, strings.Join(flags, " "))
		fmt.Fprintf(&fish, "complete -c %s -n __fish_use_subcommand -a %s -d %q\n", name, node.Name, node.Help)
	}
	if c.Shell == "fish" {
		fmt.Print(fish.String())
		return nil
	}
	if c.Shell == "zsh" {
		fmt.Println("autoload -U +X bashcompinit && bashcompinit")
	}
	fmt.Printf(`_%[1]s() {
    local words="%[2]s" current="${COMP_WORDS[COMP_CWORD]}"
    if [ "$COMP_CWORD" -gt 1 ]; then
        case "${COMP_WORDS[1]}" in
%[3]s        esac
        case "$current" in
        -*) ;;
        *) COMPREPLY=($(compgen -f -- "$current")); return ;;
        esac
    fi
    COMPREPLY=($(compgen -W "$words" -- "$current"))
}
complete -F _%[1]s %[1]s
`, name, strings.Join(commands, " "), cases.String())
	return nil
}
