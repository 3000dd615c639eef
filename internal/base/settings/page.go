package settings

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

const pageHead = `# Settings

Each setting is a flag and an environment variable; the flag wins. All settings are checked before anything is opened.
A refused setting ends the program with exit code 2 and is named on standard error, together with the reason. This page
is generated: ` + "`go test ./internal/base/settings -run TestSettingsPage -update`" + `.
`

// Page renders docs/SETTINGS.md.
func Page() (string, error) {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, program := range []struct {
		name string
		dst  any
	}{
		{"knapweedpier-balancer", &Balancer{}},
		{"knapweedpier-agent", &Agent{}},
		{"knapweedpier-node", &Node{}},
		{"knapweedpier", &Operator{}},
	} {
		table, err := Table(program.dst)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "\n## %s\n\n%s", program.name, table)
	}
	return b.String(), nil
}

// Table renders a Markdown table of the flags of dst, a pointer to a kong
// struct.
func Table(dst any) (string, error) {
	parser, err := kong.New(dst, kong.NoDefaultHelp())
	if err != nil {
		return "", errkind.Wrap(err, errkind.Internal, "settings table")
	}
	var b strings.Builder
	b.WriteString("| flag | variable | default | meaning |\n|---|---|---|---|\n")
	for _, flag := range parser.Model.Flags {
		fmt.Fprintf(&b, "| `--%s %s` | `%s` | %s | %s |\n",
			flag.Name, flag.PlaceHolder, strings.Join(flag.Envs, "`, `"), codeOrNone(flag.Default), flag.Help)
	}
	return b.String(), nil
}

func codeOrNone(s string) string {
	if s == "" {
		return ""
	}
	return "`" + s + "`"
}
