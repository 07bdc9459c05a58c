//! The list of workers and the configuration as they are written, for their bytes.

use roselock_peers::wire::{Listing, Target, Version};
use roselock_peers::{codec, member::Member, wire};
use serde_json::json;
use std::net::SocketAddr;

/// What a line is made of beside the worker's number: names as long as the platform's.
const NAME: &str = "portal-worker";
const ZONE: &str = "santander";
const KIND: &str = "node-fast";
/// When a worker's process started, in milliseconds since 1970: as many digits as today.
const BOOTED_MS: u64 = 1_796_000_000_000;
/// A cluster's name.
const CLUSTER: &str = "capacity";

/// A worker's name.
pub fn uid(worker: u32) -> String {
    format!("{NAME}-{worker:05}")
}

fn endpoint(worker: u32) -> String {
    format!("10.{}.{}.{}:8080", 100 + (worker >> 16), (worker >> 8) & 255, worker & 255)
}

/// A list as the list service writes it in JSON: whole, or a change of these workers.
pub fn json_list(whole: bool, workers: std::ops::Range<u32>) -> String {
    let line = |worker| {
        json!({
            "uid": uid(worker), "endpoint": endpoint(worker), "az": ZONE, "model": KIND, "pod_group": worker / 4,
            "state": "ready", "capacity_hint": 2.0, "boot_ms": BOOTED_MS,
        })
    };
    let lines: Vec<_> = workers.map(line).collect();
    json!({"rev": 1_000_000, "all": whole, "targets": lines}).to_string()
}

/// A worker as members of `crates/peers` pass it on.
pub fn target(worker: u32) -> Target {
    Target {
        uid: uid(worker),
        endpoint: endpoint(worker),
        az: ZONE.to_owned(),
        model: KIND.to_owned(),
        pod_group: worker / 4,
        state: 1,
        capacity_hint: 2.0,
        boot_ms: BOOTED_MS as f64,
    }
}

/// A member's whole list as a frame of `crates/peers`.
pub fn peer_frame(workers: u32) -> Vec<u8> {
    let after = Version { generation: 1, rev: 1_000_000, digest: u64::MAX };
    let targets = (0..workers).map(target).collect();
    let listing = Listing { before: None, after: Some(after), age_us: 1_000_000, targets };
    let at = SocketAddr::from(([10, 0, 0, 1], 7000));
    codec::encode_frame(
        codec::cluster_hash(CLUSTER),
        &Member::unknown_at(at),
        wire::FrameBody::Listing(listing),
    )
}

/// The settings of a configuration with so many teams, as they stand in JSON.
pub fn json_settings(teams: u32) -> String {
    let parties: Vec<_> =
        (0..teams).map(|team| json!({"name": format!("team-{team:04}"), "quotaPerS": 1.36})).collect();
    json!({
        "fleetSize": 300, "me": 150, "zone": "santander",
        "zones": (0..10).map(|zone| format!("zone-{zone}")).collect::<Vec<_>>(),
        "kinds": ["node-fast", "node-std"],
        "lanes": [
            {"name": "account-view", "worth": 1.0, "lateValue": 0.0, "promiseS": 0.2, "giveUpS": 5.0, "effect": "safe"},
            {"name": "plan-payment", "worth": 2.0, "lateValue": 0.0, "promiseS": 0.25, "giveUpS": 10.0, "effect": "unsafe"},
        ],
        "parties": parties,
        "countedBy": "request", "overShareWorth": 0.2, "discovery": "subscribe", "tickS": 0.005,
        "limits": {"cancel": true, "sendCap": 4, "connIdleS": 15.0, "connectTimeoutS": 0.2, "retryAfter": true},
        "safety": {"askWithinS": 10.0, "coldShare": 0.15, "coldS": 24.0, "fallMultiple": 4.0, "fallS": 1.0},
    })
    .to_string()
}
