//! The JSON format of the endpoint list that the discovery service sends, and its conversion to upstream
//! hosts. No I/O.

use crate::core::ListedHost;
use roselock::settings::{Site, fnv1a};
use roselock::{CellId, Endpoint, EndpointState, KindId, Micros, WorkerId, ZoneId};
use serde::Deserialize;

/// A complete endpoint list, or a list of changes, as received.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointList {
    /// The revision of the list.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Whether the list is complete; otherwise it contains the changes since an earlier revision.
    #[serde(rename = "all", default)]
    pub is_complete: bool,
    /// The entries of the list.
    pub targets: Vec<Target>,
}

/// An entry of the list, which describes an upstream host.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    /// The worker's id.
    pub(super) uid: String,
    #[serde(rename = "endpoint")]
    address: String,
    #[serde(rename = "az", default)]
    zone: String,
    #[serde(rename = "model", default)]
    kind: String,
    #[serde(rename = "pod_group", default)]
    cell: u32,
    /// `ready`, `draining` or `gone`.
    pub(super) state: String,
    #[serde(rename = "capacity_hint", default)]
    units: f64,
    /// When the worker started, in milliseconds since the Unix epoch; 0 means long ago.
    #[serde(rename = "boot_ms", default)]
    pub(super) started_at_ms: f64,
}

impl Target {
    /// The host that the entry describes. `None` if its state is unknown, or if it is ready without a valid
    /// address.
    fn to_listed_host(&self, site: &mut Site) -> Option<ListedHost> {
        let state = match self.state.as_str() {
            "ready" => EndpointState::Ready,
            "draining" => EndpointState::Draining,
            "gone" => EndpointState::Gone,
            _ => return None,
        };
        let address = self.address.parse().ok();
        if address.is_none() && state == EndpointState::Ready {
            return None;
        }
        let endpoint = Endpoint {
            worker: WorkerId(fnv1a(self.uid.as_bytes())),
            state,
            zone: ZoneId(site.zones.get_or_insert(&self.zone) as u16),
            cell: CellId(self.cell),
            kind: KindId(site.kinds.get_or_insert(&self.kind) as u16),
            units: self.units,
            started_at: (self.started_at_ms > 0.0).then_some((self.started_at_ms * 1e3) as Micros),
        };
        Some(ListedHost { uid: self.uid.clone(), address, endpoint, connection: None })
    }
}

/// The hosts of a list. Invalid entries are skipped. New zones and kinds are assigned ids in `site`.
pub fn listed_hosts(list: &EndpointList, site: &mut Site) -> Vec<ListedHost> {
    list.targets.iter().filter_map(|target| target.to_listed_host(site)).collect()
}
