// Package settings translates the settings object of the platform into the settings of the policy module. The simulator
// hands the object to each instance, and an ingress finds it in its configuration file; both use this translation.
package settings

import (
	"encoding/json"
	"fmt"

	"cometpond/policy"
)

// wireSettings is the settings object in its JSON form. Unknown keys are ignored. The fields are named like the keys; Parse
// maps them to the names that the rest of the code uses.
type wireSettings struct {
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

// effects maps the values of the key effect.
var effects = map[string]policy.Effect{"retryable": policy.Safe, "dedup": policy.Keyed, "fragile": policy.Unsafe}

// keyScopes maps the values of the key keyScope.
var keyScopes = map[string]policy.KeyScope{"": policy.ScopeAll, "all": policy.ScopeAll, "zone": policy.ScopeZone,
	"cell": policy.ScopeCell}

// Settings are the settings of an instance: those of the policy module, and those of the connections.
type Settings struct {
	policy.Settings
	ConnIdleTimeoutS      float64 // a server closes a connection that was idle for so long, in seconds; 0: never
	DialTimeoutS          float64 // timeout for opening a connection, in seconds
	AttemptsPerConnection int     // attempts that one connection carries at once
	MaxOpenRequests       int     // maximum number of open requests of an instance, 0: unlimited
}

// Parse translates the settings object. Its error names a part of the wrong type or with an unknown value. The values of the
// module's settings are checked by policy.New.
func Parse(text []byte) (Settings, error) {
	var wire wireSettings
	if err := json.Unmarshal(text, &wire); err != nil {
		return Settings{}, err
	}
	settings := Settings{ConnIdleTimeoutS: wire.Limits.ConnIdleS, DialTimeoutS: wire.Limits.DialTimeoutS,
		AttemptsPerConnection: wire.Limits.Multiplex,
		MaxOpenRequests:       wire.Limits.MostHeld}
	settings.Settings = policy.Settings{
		Self: wire.Me, Gateways: wire.Balancers, Zone: wire.MyZone,
		MaxUnits: wire.FamilyInfo.MaxUnits, UnitsFromAnswer: wire.FamilyInfo.TruedUp, PeerMessagesPerS: wire.FamilyInfo.PeerIntake,
		PeerMessages: wire.Limits.PeerMessages, Probes: wire.Limits.Probes, Cancel: wire.Limits.Cancel,
		ParallelAttempts: wire.Limits.ParallelTries, RetryAfter: wire.Limits.RetryAfter,
		MaxAttempts: wire.Limits.MaxAttempts, MaxRetryAfterS: wire.Limits.MaxRetryAfterS,
		LoadFromProbes: wire.Feedback.How == "probe", LoadFromAnswers: wire.Feedback.How == "answers",
		AnswerSlackS: wire.Rules.AnswerSlackS, ColdStartShare: wire.Rules.ColdFrom, ColdPeriodS: wire.Rules.ColdS,
		OverloadMultiple: wire.Rules.FallMultiple, OverloadWindowS: wire.Rules.FallS,
		TickS: wire.TickS, CrossZoneCost: wire.Prices.CrossZone, WorstPlanWeight: wire.ScoreParts.WorstTenant,
	}
	for _, profile := range wire.Profiles {
		effect, ok := effects[profile.Effect]
		if !ok {
			return settings, fmt.Errorf("class %s: unknown effect %q", profile.Name, profile.Effect)
		}
		scope, ok := keyScopes[profile.KeyScope]
		if !ok {
			return settings, fmt.Errorf("class %s: unknown keyScope %q", profile.Name, profile.KeyScope)
		}
		settings.Classes = append(settings.Classes, policy.Class{Name: profile.Name, TargetLatencyS: profile.AimS, TargetLatencyStretch: profile.AimStretch,
			DeadlineS: profile.DeadlineS, Value: profile.Worth, LateValueShare: profile.LateWorth, Effect: effect, KeyScope: scope,
			KeyTTLS: profile.KeyTTLS, Stream: profile.Stream})
	}
	for _, plan := range wire.Packages {
		settings.Plans = append(settings.Plans, policy.Plan{Name: plan.Name, Rate: plan.UnitsPerS, Burst: plan.PeakUnits,
			MaxParallel: plan.Parallel, ValueFactor: plan.Pays, ExtraValueShare: plan.ExtraWorth, ExcessCostShare: plan.ExcessCost,
			CeilingRate: plan.HardRate, CeilingBurst: plan.CapDepth, CeilingSlack: plan.CeilingSlack})
	}
	return settings, nil
}
