//! A settings error names the JSON key of the invalid value.

use roselock::settings::Options;
use serde_json::{Value, json};

/// Options whose values are all in range.
fn valid_options() -> Value {
    json!({
        "fleetSize": 2, "overShareWorth": 0.5, "tickS": 0.002,
        "lanes": [
            {"name": "look", "worth": 1, "lateValue": 0.5, "promiseS": 0.2, "giveUpS": 4, "effect": "safe"},
            {"name": "book", "worth": 2, "lateValue": 0.5, "promiseS": 0.5, "giveUpS": 9, "aimStretch": 1,
                "effect": "keyed", "keyScope": "cell", "windowS": 3},
        ],
        "parties": [{"name": "desk", "quotaPerS": 5}],
        "limits": {"sendCap": 3, "connIdleS": 9, "connectTimeoutS": 1, "maxStreams": 1, "maxRetryAfterS": 2},
        "costs": {"crossZone": 0.1, "handshake": 0.1, "origin": 0.1, "waste": 0.1, "lateFail": 0.1, "probe": 0.1},
        "safety": {"graceToAnswerS": 0.01, "askWithinS": 8, "coldShare": 0.4, "coldS": 5, "fallMultiple": 3,
            "fallS": 1, "extraFloor": 1, "repeatRatio": 0.1, "countedOverS": 5, "releaseWithinS": 1},
        "objectiveMix": {"slowEnd": 1, "missShare": 0.1},
        "familyInfo": {"progressS": 1},
    })
}

/// The key that the check reports, if a value is out of range.
fn rejected_key(options: &Value) -> Option<String> {
    let options: Options = serde_json::from_value(options.clone()).expect("options");
    let site = options.site().expect("no unknown values");
    site.settings.check().err().map(|error| error.field)
}

#[test]
fn each_value_out_of_range_is_named_by_its_json_key() {
    assert_eq!(rejected_key(&valid_options()), None);
    let keys_rejecting_negative_values = [
        "overShareWorth",
        "tickS",
        "lanes[1].worth",
        "lanes[1].lateValue",
        "lanes[1].promiseS",
        "lanes[1].giveUpS",
        "lanes[1].windowS",
        "parties[0].quotaPerS",
        "limits.connIdleS",
        "limits.connectTimeoutS",
        "limits.maxRetryAfterS",
        "costs.crossZone",
        "costs.handshake",
        "costs.origin",
        "costs.waste",
        "costs.lateFail",
        "costs.probe",
        "safety.graceToAnswerS",
        "safety.askWithinS",
        "safety.coldShare",
        "safety.coldS",
        "safety.fallMultiple",
        "safety.fallS",
        "safety.extraFloor",
        "safety.repeatRatio",
        "safety.countedOverS",
        "safety.releaseWithinS",
        "objectiveMix.missShare",
        "familyInfo.progressS",
    ];
    let keys_rejecting_zero = ["fleetSize", "limits.sendCap", "limits.maxStreams"];
    let negative_values = keys_rejecting_negative_values.into_iter().map(|key| (key, json!(-1)));
    let zero_values = keys_rejecting_zero.into_iter().map(|key| (key, json!(0)));
    for (key, value) in negative_values.chain(zero_values) {
        let mut options = valid_options();
        let pointer = format!("/{}", key.replace("].", "/").replace(['.', '['], "/"));
        *options.pointer_mut(&pointer).expect("a key of the options") = value;
        assert_eq!(rejected_key(&options).as_deref(), Some(key));
    }
}

#[test]
fn the_stretch_of_a_latency_objective_is_named_by_both_of_its_keys() {
    let mut options = valid_options();
    options["lanes"][1]["aimStretch"] = json!(-1);
    let both_keys = "lanes[1].aimStretch or familyInfo.classStretch[1]";
    assert_eq!(rejected_key(&options).as_deref(), Some(both_keys));
}
