package operator

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/jackdawgate/jackdawgate/certifier"
	"github.com/jackdawgate/jackdawgate/commander"
)

const (
	day = 24 * time.Hour
	// authorityDays and certificateDays are the default validity periods, in days.
	authorityDays   = 3650
	certificateDays = 90
)

// CertificateAuthority creates the authority that signs the hosts' certificates and
// writes its certificate and private key to files.
type CertificateAuthority struct {
	folder string
	days   int
}

// Name implements commander.Command.
func (*CertificateAuthority) Name() string { return "certificate authority" }

// Arguments implements commander.Command.
func (*CertificateAuthority) Arguments() string { return "" }

// Short implements commander.Command.
func (*CertificateAuthority) Short() string {
	return "creates an authority for hosts' certificates; do not store its key on a host"
}

// Example implements commander.Command.
func (*CertificateAuthority) Example() string {
	return "jackdawgate certificate authority -folder certificates"
}

// Flags implements commander.Command.
func (c *CertificateAuthority) Flags(f *flag.FlagSet) {
	f.StringVar(&c.folder, "folder", ".", "`folder` for its files")
	f.IntVar(&c.days, "days", authorityDays, "`days` that it is valid")
}

// Run implements commander.Command.
func (c *CertificateAuthority) Run(_ context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args); err != nil {
		return err
	}
	a, err := certifier.NewAuthority(time.Duration(c.days) * day)
	if err != nil {
		return err
	}
	if err := a.Save(c.folder); err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.Stdout, "authority written to %s and %s\n", certifier.AuthorityFile, certifier.AuthorityKeyFile)
	return err
}

// CertificateIssue creates a host's certificate, signed by the authority whose files
// are in the same folder, and prints the settings that refer to the new files.
type CertificateIssue struct {
	folder    string
	addresses string
	days      int
}

// Name implements commander.Command.
func (*CertificateIssue) Name() string { return "certificate issue" }

// Arguments implements commander.Command.
func (*CertificateIssue) Arguments() string { return "HOST" }

// Short implements commander.Command.
func (*CertificateIssue) Short() string {
	return "creates a host's certificate, signed by the authority in the same folder"
}

// Example implements commander.Command.
func (*CertificateIssue) Example() string {
	return "jackdawgate certificate issue east-1 -folder certificates"
}

// Flags implements commander.Command.
func (c *CertificateIssue) Flags(f *flag.FlagSet) {
	f.StringVar(&c.folder, "folder", ".", "`folder` of the authority, and for the new files")
	f.StringVar(&c.addresses, "addresses", "", "IP `addresses` that callers use, separated by commas, for a certificate that is presented to them")
	f.IntVar(&c.days, "days", certificateDays, "`days` that it is valid")
}

// Run implements commander.Command.
func (c *CertificateIssue) Run(_ context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args, "HOST"); err != nil {
		return err
	}
	a, err := certifier.LoadAuthority(c.folder)
	if err != nil {
		return err
	}
	var addresses []string
	if c.addresses != "" {
		addresses = strings.Split(c.addresses, ",")
	}
	f, err := a.Issue(c.folder, args[0], addresses, time.Duration(c.days)*day)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.Stdout, "peer-certificate = %s\npeer-key = %s\npeer-authority = %s\n", f.Certificate, f.Key, f.Authority)
	return err
}
