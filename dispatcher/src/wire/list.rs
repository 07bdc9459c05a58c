//! The list of upstream hosts as it is written, and how lists are found in the bytes of a watch. No I/O.

use crate::core::ListedHost;
use roselock::settings::{Site, fnv};
use roselock::{CellId, Endpoint, EndpointState, KindId, Micros, WorkerId, ZoneId};
use serde::Deserialize;
use serde::de::IgnoredAny;

/// A list or its changes, as on the wire.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct List {
    /// Its version.
    pub rev: u64,
    /// Whether it is complete.
    #[serde(default)]
    pub all: bool,
    /// Its lines.
    pub targets: Vec<Target>,
}

/// An upstream host, as on the wire.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    /// Its name.
    pub(super) uid: String,
    endpoint: String,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u32,
    /// `ready`, `draining` or `gone`.
    pub(super) state: String,
    #[serde(default)]
    capacity_hint: f64,
    /// Its start, in milliseconds since the Unix epoch; 0: long ago.
    #[serde(default)]
    pub(super) boot_ms: f64,
}

/// What a list says of the hosts. Lines that make no sense are left out.
pub fn hosts(list: &List, site: &mut Site) -> Vec<ListedHost> {
    let host = |t: &Target| {
        let state = match t.state.as_str() {
            "ready" => EndpointState::Ready,
            "draining" => EndpointState::Draining,
            "gone" => EndpointState::Gone,
            _ => return None,
        };
        let endpoint = t.endpoint.parse().ok();
        if endpoint.is_none() && state == EndpointState::Ready {
            return None;
        }
        let entry = Endpoint {
            worker: WorkerId(fnv(t.uid.as_bytes())),
            state,
            zone: ZoneId(site.zones.id(&t.az) as u16),
            cell: CellId(t.pod_group),
            kind: KindId(site.kinds.id(&t.model) as u16),
            units: t.capacity_hint,
            started_at: (t.boot_ms > 0.0).then_some((t.boot_ms * 1e3) as Micros),
        };
        Some(ListedHost { uid: t.uid.clone(), address: endpoint, endpoint: entry, connection: None })
    };
    list.targets.iter().filter_map(host).collect()
}

/// Finds the lists in the bytes of a watch: JSON objects, each on one line or written over many indented ones. What is
/// cut or makes no sense is dropped, up to the next line that begins with a brace: only a list begins at the margin.
#[derive(Default)]
pub struct Lists {
    bytes: Vec<u8>,
    /// What was dropped goes on; whether the last of its bytes ended a line.
    dropping: Option<bool>,
}

impl Lists {
    /// Takes in what has come.
    pub fn push(&mut self, mut bytes: &[u8]) {
        if let Some(at_margin) = self.dropping {
            let Some(start) = margin(bytes, at_margin) else {
                self.dropping = Some(bytes.last().map_or(at_margin, |b| *b == b'\n'));
                return;
            };
            (self.dropping, bytes) = (None, &bytes[start..]);
        }
        self.bytes.extend_from_slice(bytes);
    }
    /// Bytes of a list that has begun and is not whole, or of what is dropped.
    pub fn held(&self) -> usize {
        self.bytes.len() + self.dropping.is_some() as usize
    }
    /// The next list, or why what stood there was dropped; none until more has come.
    pub fn next(&mut self) -> Option<Result<List, String>> {
        let blank = self.bytes.iter().take_while(|b| b.is_ascii_whitespace()).count();
        self.bytes.drain(..blank);
        if self.bytes.is_empty() {
            return None;
        }
        let mut values = serde_json::Deserializer::from_slice(&self.bytes).into_iter::<IgnoredAny>();
        match values.next() {
            Some(Ok(_)) => {
                let end = values.byte_offset();
                let list = serde_json::from_slice(&self.bytes[..end]).map_err(|e| e.to_string());
                self.bytes.drain(..end);
                Some(list)
            }
            Some(Err(e)) if e.is_eof() => {
                // One that was cut off swallows the next one, which is whole for itself.
                let next = margin(&self.bytes[1..], false)? + 1;
                let mut behind =
                    serde_json::Deserializer::from_slice(&self.bytes[next..]).into_iter::<List>();
                if !matches!(behind.next(), Some(Ok(_))) {
                    return None;
                }
                self.bytes.drain(..next);
                Some(Err("cut off".to_owned()))
            }
            Some(Err(e)) => {
                match margin(&self.bytes[1..], false) {
                    Some(next) => drop(self.bytes.drain(..=next)),
                    None => {
                        self.dropping = Some(self.bytes.ends_with(b"\n"));
                        self.bytes.clear();
                    }
                }
                Some(Err(e.to_string()))
            }
            None => None,
        }
    }
}

/// Where a line begins with a brace.
fn margin(bytes: &[u8], at_margin: bool) -> Option<usize> {
    let at = |i: usize| if i == 0 { at_margin } else { bytes[i - 1] == b'\n' };
    (0..bytes.len()).find(|i| bytes[*i] == b'{' && at(*i))
}

#[cfg(test)]
#[path = "list_tests.rs"]
mod tests;
