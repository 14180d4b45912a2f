// Package terms reads the settings object that the simulator hands to an instance, and that a real ingress finds in
// its configuration: one translation for both.
package terms

import (
	"encoding/json"
	"fmt"

	"cometpond/policy"
)

// object is the settings object as the wire words it; unknown keys are skipped.
type object struct {
	Balancers  int    `json:"balancers"`
	Me         int    `json:"me"`
	MyZone     string `json:"myZone"`
	FamilyInfo struct {
		MaxUnits   int     `json:"maxUnits"`
		PeerIntake float64 `json:"peerIntake"`
		TruedUp    bool    `json:"truedUp"`
	} `json:"familyInfo"`
	Feedback struct {
		How string `json:"how"`
	} `json:"feedback"`
	Limits struct {
		Cancel         bool    `json:"cancel"`
		ConnIdleS      float64 `json:"connIdleS"`
		DialTimeoutS   float64 `json:"dialTimeoutS"`
		MostHeld       int     `json:"mostHeld"`
		Multiplex      int     `json:"multiplex"`
		MaxAttempts    int     `json:"maxAttempts"`
		MaxRetryAfterS float64 `json:"maxRetryAfterS"`
		ParallelTries  bool    `json:"parallelTries"`
		PeerMessages   bool    `json:"peerMessages"`
		Probes         bool    `json:"probes"`
		RetryAfter     bool    `json:"retryAfter"`
	} `json:"limits"`
	Packages []struct {
		Name         string  `json:"name"`
		UnitsPerS    float64 `json:"unitsPerS"`
		PeakUnits    float64 `json:"peakUnits"`
		Parallel     int     `json:"parallel"`
		Pays         float64 `json:"pays"`
		ExtraWorth   float64 `json:"extraWorth"`
		ExcessCost   float64 `json:"excessCost"`
		HardRate     float64 `json:"hardRate"`
		CapDepth     float64 `json:"capDepth"`
		CeilingSlack float64 `json:"ceilingSlack"`
	} `json:"packages"`
	Prices struct {
		CrossZone float64 `json:"crossZone"`
	} `json:"prices"`
	Profiles []struct {
		Name       string  `json:"name"`
		AimS       float64 `json:"aimS"`
		AimStretch float64 `json:"aimStretch"`
		DeadlineS  float64 `json:"deadlineS"`
		Effect     string  `json:"effect"`
		KeyScope   string  `json:"keyScope"`
		KeyTTLS    float64 `json:"keyTtlS"`
		LateWorth  float64 `json:"lateWorth"`
		Stream     bool    `json:"stream"`
		Worth      float64 `json:"worth"`
	} `json:"profiles"`
	Rules struct {
		AnswerSlackS float64 `json:"answerSlackS"`
		ColdFrom     float64 `json:"coldFrom"`
		ColdS        float64 `json:"coldS"`
		FallMultiple float64 `json:"fallMultiple"`
		FallS        float64 `json:"fallS"`
	} `json:"rules"`
	ScoreParts struct {
		WorstTenant float64 `json:"worstTenant"`
	} `json:"scoreParts"`
	TickS float64 `json:"tickS"`
}

var effects = map[string]policy.Effect{"retryable": policy.Safe, "dedup": policy.Keyed, "fragile": policy.Unsafe}

var scopes = map[string]policy.KeyScope{"": policy.ScopeAll, "all": policy.ScopeAll, "zone": policy.ScopeZone,
	"cell": policy.ScopeCell}

// Settings are the settings of an instance: those of the module, and what the network's side needs besides.
type Settings struct {
	policy.Settings
	ConnIdleS    float64 // a server closes a connection that stood idle for so long, seconds; 0: never
	DialTimeoutS float64 // until a connection stands, seconds
	Multiplex    int     // attempts that one connection carries at once
	MostHeld     int     // requests that an instance may have open, 0: not bounded
}

// Parse translates the settings. It tells which part has the wrong form; whether the module's part makes sense is for
// policy.New to say.
func Parse(text []byte) (Settings, error) {
	var w object
	if err := json.Unmarshal(text, &w); err != nil {
		return Settings{}, err
	}
	t := Settings{ConnIdleS: w.Limits.ConnIdleS, DialTimeoutS: w.Limits.DialTimeoutS, Multiplex: w.Limits.Multiplex,
		MostHeld: w.Limits.MostHeld}
	t.Settings = policy.Settings{
		Self: w.Me, Gateways: w.Balancers, Zone: w.MyZone,
		MaxUnits: w.FamilyInfo.MaxUnits, UnitsFromAnswer: w.FamilyInfo.TruedUp, PeerMessagesPerS: w.FamilyInfo.PeerIntake,
		PeerMessages: w.Limits.PeerMessages, Probes: w.Limits.Probes, Cancel: w.Limits.Cancel,
		ParallelAttempts: w.Limits.ParallelTries, RetryAfter: w.Limits.RetryAfter,
		MaxAttempts: w.Limits.MaxAttempts, MaxRetryAfterS: w.Limits.MaxRetryAfterS,
		LoadFromProbes: w.Feedback.How == "probe", LoadFromAnswers: w.Feedback.How == "answers",
		AnswerSlackS: w.Rules.AnswerSlackS, ColdStartShare: w.Rules.ColdFrom, ColdPeriodS: w.Rules.ColdS,
		OverloadMultiple: w.Rules.FallMultiple, OverloadWindowS: w.Rules.FallS,
		TickS: w.TickS, CrossZoneCost: w.Prices.CrossZone, WorstPlanWeight: w.ScoreParts.WorstTenant,
	}
	for _, p := range w.Profiles {
		effect, ok := effects[p.Effect]
		if !ok {
			return t, fmt.Errorf("class %s: unknown effect %q", p.Name, p.Effect)
		}
		scope, ok := scopes[p.KeyScope]
		if !ok {
			return t, fmt.Errorf("class %s: unknown keyScope %q", p.Name, p.KeyScope)
		}
		t.Classes = append(t.Classes, policy.Class{Name: p.Name, TargetLatencyS: p.AimS, TargetLatencyStretch: p.AimStretch,
			DeadlineS: p.DeadlineS, Value: p.Worth, LateValueShare: p.LateWorth, Effect: effect, KeyScope: scope,
			KeyTTLS: p.KeyTTLS, Stream: p.Stream})
	}
	for _, p := range w.Packages {
		t.Plans = append(t.Plans, policy.Plan{Name: p.Name, Rate: p.UnitsPerS, Burst: p.PeakUnits,
			MaxParallel: p.Parallel, ValueFactor: p.Pays, ExtraValueShare: p.ExtraWorth, ExcessCostShare: p.ExcessCost,
			CeilingRate: p.HardRate, CeilingBurst: p.CapDepth, CeilingSlack: p.CeilingSlack})
	}
	return t, nil
}
