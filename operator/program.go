package operator

import (
	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/jackdawgate/jackdawgate/experimenter"
)

// Program returns the command-line program jackdawgate with all of its commands.
func Program() commander.Program {
	return commander.Program{
		Name:  "jackdawgate",
		Short: "serves online and batch inference on one fleet",
		Commands: []commander.Command{
			&Dev{}, &Serve{}, &SettingsCheck{}, &Status{}, &Explain{},
			&WorkspaceCreate{}, &WorkspaceList{}, &LimitSet{},
			&KeyGive{}, &KeyWithdraw{}, &KeyList{},
			&PresetSet{}, &PresetDefine{}, &PresetShow{},
			&ServerPut{}, &ServerRemove{}, &ServerList{}, &RoutePut{}, &HostRemove{},
			&JobSubmit{}, &JobStatus{}, &JobCancel{}, &JobResults{},
			&CertificateAuthority{}, &CertificateIssue{},
			&UsageReport{}, &UsageVerify{}, &UsageRecords{}, &experimenter.Load{},
		},
	}
}
