package terms

import (
	"strings"
	"testing"

	"cometpond/internal/standin"
	"cometpond/policy"
)

func TestRead(t *testing.T) {
	good := standin.PlatformSettings(1, 3)
	s, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if s.Self != 1 || s.Gateways != 3 || s.Zone != "room-a" || s.MaxUnits != 4 || s.PeerMessagesPerS != 40 || !s.PeerMessages || !s.Probes || !s.Cancel || !s.ParallelAttempts ||
		!s.RetryAfter || s.MaxAttempts != 3 || s.MaxRetryAfterS != 0.5 || !s.LoadFromProbes || s.LoadFromAnswers || s.CrossZoneCost != 0.02 ||
		s.AnswerSlackS != 0.008 || s.OverloadWindowS != 1.5 || s.WorstPlanWeight != 0.15 {
		t.Errorf("%+v", s.Settings)
	}
	if s.ConnIdleS != 15 || s.DialTimeoutS != 0.25 || s.Multiplex != 100 || s.MostHeld != 20000 {
		t.Errorf("%+v", s)
	}
	want := policy.Class{Name: "order", TargetLatencyS: 3, DeadlineS: 6, Value: 3, Effect: policy.Keyed, KeyScope: policy.ScopeZone, KeyTTLS: 7.5}
	if len(s.Classes) != 3 || s.Classes[1] != want || s.Classes[2].Effect != policy.Unsafe || len(s.Plans) != 2 || s.Plans[1].Burst != 4 {
		t.Errorf("%+v, %+v", s.Classes, s.Plans)
	}
	for old, with := range map[string]string{`"dedup"`: `"once"`, `"zone"`: `"house"`, `"balancers":3`: `"balancers":"3"`, `{"balancers"`: `["balancers"`} {
		if _, err := Parse([]byte(strings.Replace(good, old, with, 1))); err == nil {
			t.Errorf("%s is taken", with)
		}
	}
}
