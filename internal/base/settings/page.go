package settings

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

const pageHeader = `# Settings

Each setting is a flag and an environment variable; the flag wins. All settings are checked before anything is opened.
A refused setting ends the program with exit code 2 and is named on standard error, together with the reason. This page
is generated: ` + "`go test ./internal/base/settings -run TestSettingsPage -update`" + `.
`

// RenderPage renders docs/SETTINGS.md.
func RenderPage() (string, error) {
	var b strings.Builder
	b.WriteString(pageHeader)
	for _, program := range []struct {
		name string
		dst  any
	}{
		{"knapweedpier-balancer", &Balancer{}},
		{"knapweedpier-agent", &Agent{}},
		{"knapweedpier-node", &Node{}},
		{"knapweedpier", &Operator{}},
	} {
		table, err := RenderFlagTable(program.dst)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "\n## %s\n\n%s", program.name, table)
	}
	return b.String(), nil
}

// RenderFlagTable renders a Markdown table of the flags of dst, a pointer to a
// struct with kong tags.
func RenderFlagTable(dst any) (string, error) {
	parser, err := kong.New(dst, kong.NoDefaultHelp())
	if err != nil {
		return "", errkind.Wrap(err, errkind.Internal, "build the table of settings")
	}
	var b strings.Builder
	b.WriteString("| flag | variable | default | meaning |\n|---|---|---|---|\n")
	for _, flag := range parser.Model.Flags {
		fmt.Fprintf(&b, "| `--%s %s` | `%s` | %s | %s |\n",
			flag.Name, flag.PlaceHolder, strings.Join(flag.Envs, "`, `"), inlineCode(flag.Default), flag.Help)
	}
	return b.String(), nil
}

func inlineCode(s string) string {
	if s == "" {
		return ""
	}
	return "`" + s + "`"
}
