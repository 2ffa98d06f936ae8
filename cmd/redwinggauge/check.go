package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/redwinggauge/redwinggauge/internal/client"
	"github.com/redwinggauge/redwinggauge/internal/configcheck"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/platform"
)

// Formats of configurations.
const (
	formatAuto    = "auto"
	formatGateway = "gateway"
	formatProduct = "product"
)

// checkCommand holds the flags of command config check.
type checkCommand struct {
	format  string
	against string
	json    bool
	servers map[string]int
}

func configCheck(out, errOut io.Writer) *operatorCommand {
	c := &checkCommand{servers: make(map[string]int)}
	return &operatorCommand{
		name:     "check",
		synopsis: "check a configuration without submitting it; FILE - reads standard input; exit code 1: findings, 2: cannot read",
		usage:    "[-against FILE] [-format gateway|product] [-servers SERVICE=N] [-json] FILE",
		args:     1,
		errOut:   errOut,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&c.against, "against", "", "`FILE` with the version to compare with, usually the one in force")
			f.StringVar(&c.format, "format", formatAuto, "`FORMAT` of the files: gateway, product, or auto to recognise it")
			f.BoolVar(&c.json, "json", false, "print JSON")
			f.Func("servers", "`SERVICE=N`: a service's number of servers, to compare with routes' attempts; may be repeated", c.addServers)
		},
		run: func(_ context.Context, args []string) error { return c.run(args[0], out) },
	}
}

func (c *checkCommand) addServers(arg string) error {
	service, number, _ := strings.Cut(arg, "=")
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 || service == "" {
		return fmt.Errorf("not of the form SERVICE=N")
	}
	c.servers[service] = n
	return nil
}

// run checks the file and prints the report. Its error is a *client.UsageError if a file cannot be read.
func (c *checkCommand) run(file string, out io.Writer) error {
	document, err := readDocument(file)
	if err != nil {
		return err
	}
	var other *configcheck.Document
	if c.against != "" {
		if other, err = readDocument(c.against); err != nil {
			return err
		}
	}
	report := &configcheck.Report{File: file, Format: c.format, Findings: []configcheck.Finding{}}
	if c.format == formatAuto {
		report.Format = formatProduct
		if platform.IsConfig(document) {
			report.Format = formatGateway
		}
	}
	secrets := document.Secrets
	if other != nil {
		secrets = append(secrets, other.Secrets...)
	}
	switch report.Format {
	case formatGateway:
		err = c.checkGateway(report, document, other, secrets)
	case formatProduct:
		err = c.checkProduct(report, document, other)
		secrets.Redact(report)
	default:
		err = &client.UsageError{Message: fmt.Sprintf("unknown format %q: use gateway, product or auto", c.format)}
	}
	if err != nil {
		return err
	}
	return c.print(report, out)
}

// readDocument reads a file, which must contain a JSON object. Its error contains nothing from the file.
func readDocument(file string) (*configcheck.Document, error) {
	data, err := readConfig(file)
	if err != nil {
		return nil, err
	}
	if len(data) > policy.MaxConfigBytes { // Standard input was not read to its end.
		return nil, &client.UsageError{Message: fmt.Sprintf("cannot read %s: larger than %d bytes", file, policy.MaxConfigBytes)}
	}
	document, err := configcheck.ReadDocument(data)
	if err != nil {
		return nil, &client.UsageError{Message: fmt.Sprintf("cannot read %s: %v", file, err)}
	}
	return document, nil
}

// checkGateway adds the findings on a configuration of the process gateway. other is nil if there is nothing to compare with.
func (c *checkCommand) checkGateway(report *configcheck.Report, document, other *configcheck.Document, secrets configcheck.Secrets) error {
	g, found := platform.DecodeForCheck(document)
	report.Findings = append(report.Findings, found...)
	if g != nil {
		g.Secrets, g.Servers = secrets, c.servers
		report.Findings = append(report.Findings, g.Check()...)
	}
	if other == nil {
		return nil
	}
	old, _ := platform.DecodeForCheck(other)
	if old == nil {
		return &client.UsageError{Message: fmt.Sprintf("cannot compare with %s: check it first", c.against)}
	}
	if g != nil {
		report.Differences = g.Against(old)
	}
	return nil
}

// checkProduct adds the findings on a configuration of the product.
func (c *checkCommand) checkProduct(report *configcheck.Report, document, other *configcheck.Document) error {
	config, found := configcheck.DecodeProduct(document.Data)
	report.Findings = append(report.Findings, found...)
	if config != nil {
		report.Findings = append(report.Findings, configcheck.CheckProduct(config)...)
	}
	if other == nil {
		return nil
	}
	old, faults := configcheck.DecodeProduct(other.Data)
	if len(faults) > 0 {
		return &client.UsageError{Message: fmt.Sprintf("cannot compare with %s: check it first", c.against)}
	}
	if config == nil {
		return nil
	}
	var err error
	report.Differences, err = configcheck.ProductChanges(old, config)
	return err
}

// print prints the report. Its error gives the number of findings, if any.
func (c *checkCommand) print(report *configcheck.Report, out io.Writer) error {
	printReport := report.WriteText
	if c.json {
		printReport = func(out io.Writer) error { return client.PrintJSON(out, report) }
	}
	if err := printReport(out); err != nil {
		return err
	}
	if findings, harmful := report.Count(); findings+harmful > 0 {
		return fmt.Errorf("%d findings, %d harmful changes", findings, harmful)
	}
	return nil
}
