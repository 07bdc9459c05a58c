//! The endpoint list and the configuration in their serialized forms, whose bytes are measured.

use roselock_peers::wire::{Listing, Target, Version};
use roselock_peers::{codec, member::Member, wire};
use serde_json::json;
use std::net::SocketAddr;

/// The prefix of the workers' names, which are as long as those of the platform.
const NAME: &str = "portal-worker";
/// The zone of all workers.
const ZONE: &str = "santander";
/// The machine kind of all workers.
const KIND: &str = "node-fast";
/// The start time of a worker, in milliseconds since 1970, with as many digits as today's.
const BOOTED_MS: u64 = 1_796_000_000_000;
/// The name of the cluster.
const CLUSTER: &str = "capacity";

/// A worker's name.
pub fn uid(worker: u32) -> String {
    format!("{NAME}-{worker:05}")
}

fn endpoint(worker: u32) -> String {
    format!("10.{}.{}.{}:8080", 100 + (worker >> 16), (worker >> 8) & 255, worker & 255)
}

/// An endpoint list of these workers as the discovery service writes it in JSON: complete, or a change.
pub fn json_list(complete: bool, workers: std::ops::Range<u32>) -> String {
    let line = |worker| {
        json!({
            "uid": uid(worker), "endpoint": endpoint(worker), "az": ZONE, "model": KIND, "pod_group": worker / 4,
            "state": "ready", "capacity_hint": 2.0, "boot_ms": BOOTED_MS,
        })
    };
    let lines: Vec<_> = workers.map(line).collect();
    json!({"rev": 1_000_000, "all": complete, "targets": lines}).to_string()
}

/// A worker in the form in which members of `crates/peers` exchange it.
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

/// The complete list of a member as a frame of `crates/peers`.
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

/// The settings with this number of teams, as JSON of the configuration.
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
