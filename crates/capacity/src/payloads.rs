//! The serialized forms of the endpoint list and of the settings, whose sizes are measured.

use roselock_peers::wire::{Listing, Target, Version};
use roselock_peers::{codec, member::Member, wire};
use serde_json::json;
use std::net::SocketAddr;

/// The prefix of a worker's name; the names are as long as those of the platform.
const WORKER_NAME_PREFIX: &str = "portal-worker";
/// The zone of all workers.
const ZONE: &str = "santander";
/// The machine kind of all workers.
const MACHINE_KIND: &str = "node-fast";
/// The start time of a worker, in milliseconds since 1970, with as many digits as current times.
const START_TIME_MS: u64 = 1_796_000_000_000;
/// The name of the cluster.
const CLUSTER: &str = "capacity";

/// The unique id of a worker in the endpoint list.
pub fn worker_uid(worker: u32) -> String {
    format!("{WORKER_NAME_PREFIX}-{worker:05}")
}

fn worker_address(worker: u32) -> String {
    format!("10.{}.{}.{}:8080", 100 + (worker >> 16), (worker >> 8) & 255, worker & 255)
}

/// The endpoint list of these workers as JSON of the discovery service, complete or as a change.
pub fn endpoint_list_json(complete: bool, workers: std::ops::Range<u32>) -> String {
    let entry = |worker| {
        json!({
            "uid": worker_uid(worker), "endpoint": worker_address(worker), "az": ZONE, "model": MACHINE_KIND, "pod_group": worker / 4,
            "state": "ready", "capacity_hint": 2.0, "boot_ms": START_TIME_MS,
        })
    };
    let entries: Vec<_> = workers.map(entry).collect();
    json!({"rev": 1_000_000, "all": complete, "targets": entries}).to_string()
}

/// The entry of a worker in the lists that members of `crates/peers` exchange.
pub fn peer_target(worker: u32) -> Target {
    Target {
        uid: worker_uid(worker),
        endpoint: worker_address(worker),
        az: ZONE.to_owned(),
        model: MACHINE_KIND.to_owned(),
        pod_group: worker / 4,
        state: 1,
        capacity_hint: 2.0,
        boot_ms: START_TIME_MS as f64,
    }
}

/// The complete endpoint list as a frame of `crates/peers`.
pub fn peer_list_frame(workers: u32) -> Vec<u8> {
    let after = Version { generation: 1, rev: 1_000_000, digest: u64::MAX };
    let targets = (0..workers).map(peer_target).collect();
    let listing = Listing { before: None, after: Some(after), age_us: 1_000_000, targets };
    let address = SocketAddr::from(([10, 0, 0, 1], 7000));
    codec::encode_frame(
        codec::cluster_hash(CLUSTER),
        &Member::unknown_at(address),
        wire::FrameBody::Listing(listing),
    )
}

/// The settings with this number of teams as JSON.
pub fn settings_json(teams: u32) -> String {
    let tenants: Vec<_> =
        (0..teams).map(|team| json!({"name": format!("team-{team:04}"), "quotaPerS": 1.36})).collect();
    json!({
        "fleetSize": 300, "me": 150, "zone": "santander",
        "zones": (0..10).map(|zone| format!("zone-{zone}")).collect::<Vec<_>>(),
        "kinds": ["node-fast", "node-std"],
        "lanes": [
            {"name": "account-view", "worth": 1.0, "lateValue": 0.0, "promiseS": 0.2, "giveUpS": 5.0, "effect": "safe"},
            {"name": "plan-payment", "worth": 2.0, "lateValue": 0.0, "promiseS": 0.25, "giveUpS": 10.0, "effect": "unsafe"},
        ],
        "parties": tenants,
        "countedBy": "request", "overShareWorth": 0.2, "discovery": "subscribe", "tickS": 0.005,
        "limits": {"cancel": true, "sendCap": 4, "connIdleS": 15.0, "connectTimeoutS": 0.2, "retryAfter": true},
        "safety": {"askWithinS": 10.0, "coldShare": 0.15, "coldS": 24.0, "fallMultiple": 4.0, "fallS": 1.0},
    })
    .to_string()
}
