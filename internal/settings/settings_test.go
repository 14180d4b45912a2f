package settings

import (
	"strings"
	"testing"

	"cometpond/internal/standin"
	"cometpond/policy"
)

func TestParse(t *testing.T) {
	object := standin.PlatformSettings(1, 3)
	settings, err := Parse([]byte(object))
	if err != nil {
		t.Fatal(err)
	}
	if settings.Self != 1 || settings.Gateways != 3 || settings.Zone != "room-a" || settings.MaxUnits != 4 || settings.PeerMessagesPerS != 40 ||
		!settings.PeerMessages || !settings.Probes || !settings.Cancel || !settings.ParallelAttempts ||
		!settings.RetryAfter || settings.MaxAttempts != 3 || settings.MaxRetryAfterS != 0.5 || !settings.LoadFromProbes ||
		settings.LoadFromAnswers || settings.CrossZoneCost != 0.02 ||
		settings.AnswerSlackS != 0.008 || settings.OverloadWindowS != 1.5 || settings.WorstPlanWeight != 0.15 {
		t.Errorf("module settings: %+v", settings.Settings)
	}
	if settings.ConnIdleTimeoutS != 15 || settings.DialTimeoutS != 0.25 || settings.AttemptsPerConnection != 100 || settings.MaxOpenRequests != 20000 {
		t.Errorf("connection settings: %+v", settings)
	}
	want := policy.Class{Name: "order", TargetLatencyS: 3, DeadlineS: 6, Value: 3, Effect: policy.Keyed, KeyScope: policy.ScopeZone, KeyTTLS: 7.5}
	if len(settings.Classes) != 3 || settings.Classes[1] != want || settings.Classes[2].Effect != policy.Unsafe || len(settings.Plans) != 2 ||
		settings.Plans[1].Burst != 4 {
		t.Errorf("classes %+v, plans %+v", settings.Classes, settings.Plans)
	}
	for good, bad := range map[string]string{`"dedup"`: `"once"`, `"zone"`: `"house"`, `"balancers":3`: `"balancers":"3"`, `{"balancers"`: `["balancers"`} {
		if _, err := Parse([]byte(strings.Replace(object, good, bad, 1))); err == nil {
			t.Errorf("%s is accepted", bad)
		}
	}
}
