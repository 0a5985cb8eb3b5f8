package examples

import (
	"io/fs"
	"strings"
	"testing"

	"github.com/basilroute/basilroute/instance"
	"github.com/basilroute/basilroute/loadgen"
	"github.com/basilroute/basilroute/service"
)

// Operators start from these files, so each of them has to pass `basilroute validate`,
// and the domain of each instance and the home region of each account have to be in the
// fleet document of the deployment.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) { checkDeployment(t, name) })
	}
}

func checkDeployment(t *testing.T, name string) {
	files, err := Files(name)
	if err != nil {
		t.Fatal(err)
	}
	fleet := parse(t, files, "fleet.yaml").Fleet
	counts := make(map[service.Kind]int)
	err = fs.WalkDir(files, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		switch {
		case path == "load.yaml":
			_, err := loadgen.ParseMix(path, read(t, files, path))
			return err
		case strings.HasPrefix(path, "instances/"):
			checkInstance(t, files, path, fleet)
		default:
			d := parse(t, files, path)
			counts[d.Kind]++
			if d.Account != nil && d.Account.Home != "" && len(fleet.Regions[d.Account.Home].Domains) == 0 {
				t.Errorf("%s: no region %q", path, d.Account.Home)
			}
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	if counts[service.KindAccount] != 5 || counts[service.KindService] != 2 {
		t.Errorf("documents: %v", counts)
	}
}

func checkInstance(t *testing.T, files fs.FS, path string, fleet *service.Fleet) {
	settings, err := instance.ParseSettings(path, read(t, files, path))
	if err != nil {
		t.Error(err)
		return
	}
	if region, ok := fleet.RegionOfDomain(settings.Domain); !ok || region != settings.Region {
		t.Errorf("%s: the fleet document has no domain %s in %s", path, settings.Domain, settings.Region)
	}
}

func parse(t *testing.T, files fs.FS, path string) *service.Document {
	t.Helper()
	d, err := service.Parse(path, read(t, files, path))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func read(t *testing.T, files fs.FS, path string) []byte {
	t.Helper()
	data, err := fs.ReadFile(files, path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
