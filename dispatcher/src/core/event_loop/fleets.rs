//! Fleets and their upstream hosts.

use crate::core::pool::{IdleTimeoutEstimate, Pool};
use crate::core::{Dialer, FleetId, ListedHost, RequestKind, UpstreamConnection, UpstreamRequest, clock};
use roselock::{Dispatcher, Endpoint, EndpointState, Event, Micros, Settings, WorkerId};
use roselock_dial_limiter::{DialLimiter, DialLimits};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::ops::{Index, IndexMut};
use std::sync::Arc;

/// Identifies an upstream host. Fleets may share a worker; each then has its own host for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct HostId {
    pub(super) fleet: FleetId,
    pub(super) worker: WorkerId,
}

/// An upstream host of a fleet.
pub(super) struct Host {
    /// Its name on the wire.
    pub(super) uid: String,
    /// The address to dial; `None` for a host on an inbound connection.
    pub(super) address: Option<SocketAddr>,
    pub(super) pool: Pool,
    /// Its inbound connection, if the host opened one.
    pub(super) connection: Option<Arc<dyn UpstreamConnection>>,
    /// Its latest entry in the endpoint list.
    pub(super) entry: Endpoint,
    pub(super) dial_limiter: DialLimiter,
    /// Attempts that wait for a connection to the host.
    pub(super) dial_queue: VecDeque<UpstreamRequest>,
    /// Whether a connection is being opened in advance for the first attempt in the dial queue.
    pub(super) preconnecting: bool,
}

impl Host {
    /// Creates a host that is listed for the first time. [`Host::update`] sets its address and connection.
    pub(super) fn new(listed: &ListedHost) -> Host {
        Host {
            uid: listed.uid.clone(),
            address: None,
            pool: Pool::default(),
            connection: None,
            entry: listed.endpoint.clone(),
            dial_limiter: DialLimiter::new(clock::now()),
            dial_queue: VecDeque::new(),
            preconnecting: false,
        }
    }
    /// Applies an entry of the endpoint list. Pooled connections are dropped if the host has restarted, has moved or is
    /// not ready.
    pub(super) fn update(&mut self, listed: ListedHost) {
        let has_restarted = listed.endpoint.started_at != self.entry.started_at;
        let has_moved = listed.address != self.address;
        if has_restarted || has_moved || listed.endpoint.state != EndpointState::Ready {
            self.pool.clear();
            self.dial_limiter = DialLimiter::new(clock::now());
        }
        self.address = listed.address;
        self.entry = listed.endpoint;
        self.connection = listed.connection;
    }
    pub(super) fn is_ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }
    pub(super) fn is_gone(&self) -> bool {
        self.entry.state == EndpointState::Gone
    }
}

/// A fleet: upstream hosts that share one instance of the decision logic.
pub(super) struct Fleet {
    pub(super) dispatcher: Dispatcher,
    pub(super) settings: Settings,
    /// Opens connections; `None` if all hosts are on inbound connections.
    pub(super) dialer: Option<Box<dyn Dialer>>,
    pub(super) hosts: BTreeMap<WorkerId, Host>,
    pub(super) idle_timeout: IdleTimeoutEstimate,
    /// Events for the next step of the decision logic.
    pub(super) events: Vec<Event>,
    /// Timers of the decision logic, with their tokens, earliest first.
    pub(super) timers: BinaryHeap<Reverse<(Micros, u64)>>,
    /// When the decision logic last stepped; 0 if it has not stepped yet.
    pub(super) stepped_at: Micros,
    /// Limits on new connections to its hosts; `None` if they are dialled without delay.
    pub(super) dial_limits: Option<DialLimits>,
    /// When a host last rejected a new connection.
    pub(super) last_rejection: Option<Micros>,
    /// Whether its endpoint list was valid at the latest step.
    pub(super) list_is_valid: bool,
    /// The expiry of its endpoint list for which its unsent attempts were cancelled last.
    pub(super) cancelled_for_expiry_at: Option<Micros>,
}

impl Fleet {
    pub(super) fn new(dispatcher: Dispatcher, settings: Settings, dialer: Option<Box<dyn Dialer>>) -> Fleet {
        Fleet {
            idle_timeout: IdleTimeoutEstimate::new(configured_idle_timeout(&settings)),
            dispatcher,
            settings,
            dialer,
            hosts: BTreeMap::new(),
            events: Vec::new(),
            timers: BinaryHeap::new(),
            stepped_at: 0,
            dial_limits: None,
            last_rejection: None,
            list_is_valid: false,
            cancelled_for_expiry_at: None,
        }
    }
    /// Applies new settings. If the decision logic rejects them, logs the reason and keeps the current ones.
    pub(super) fn update_settings(&mut self, settings: Settings) {
        if let Err(reason) = self.dispatcher.update_settings(&settings) {
            tracing::warn!(%reason, "settings rejected, keeping the current ones");
            return;
        }
        self.idle_timeout.set_idle_timeout(configured_idle_timeout(&settings));
        self.settings = settings;
    }
    /// Whether a new connection may be opened for such a request.
    pub(super) fn has_dial_capacity(&self, kind: &RequestKind) -> bool {
        self.dialer.as_ref().is_some_and(|dialer| dialer.has_capacity(kind))
    }
    /// When its endpoint list expires, if the unsent attempts have not been cancelled for that.
    pub(super) fn next_list_expiry(&self) -> Option<Micros> {
        self.dispatcher.list_expires_at().filter(|at| self.cancelled_for_expiry_at != Some(*at))
    }
    /// When the decision logic steps next: immediately if there are events, otherwise with the next timer, and at most
    /// once per tick.
    pub(super) fn next_step_at(&self) -> Option<Micros> {
        let earliest = self.stepped_at + self.settings.tick;
        if !self.events.is_empty() {
            return Some(earliest);
        }
        let Reverse((timer_at, _)) = self.timers.peek()?;
        Some(earliest.max(*timer_at))
    }
}

/// How long a connection may be idle according to the settings, reduced by a margin, in microseconds.
pub(super) fn configured_idle_timeout(settings: &Settings) -> Micros {
    settings.limits.idle_timeout * 2 / 3
}

/// All fleets, indexed by their numbers.
#[derive(Default)]
pub(super) struct Fleets {
    fleets: Vec<Fleet>,
    /// The fleet that steps first in the current round.
    first_in_round: FleetId,
}

impl Fleets {
    pub(super) fn add(&mut self, fleet: Fleet) -> FleetId {
        self.fleets.push(fleet);
        self.fleets.len() - 1
    }
    pub(super) fn len(&self) -> usize {
        self.fleets.len()
    }
    pub(super) fn iter(&self) -> impl Iterator<Item = &Fleet> {
        self.fleets.iter()
    }
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Fleet> {
        self.fleets.iter_mut()
    }
    /// The order in which the fleets step next. Fleets may share hosts, so a different fleet is first each time: none
    /// always gets the hosts that become free.
    pub(super) fn next_round(&mut self) -> impl Iterator<Item = FleetId> + use<> {
        self.first_in_round = (self.first_in_round + 1) % self.fleets.len();
        (self.first_in_round..self.fleets.len()).chain(0..self.first_in_round)
    }
    pub(super) fn host(&self, id: HostId) -> Option<&Host> {
        self.fleets[id.fleet].hosts.get(&id.worker)
    }
    pub(super) fn host_mut(&mut self, id: HostId) -> Option<&mut Host> {
        self.fleets[id.fleet].hosts.get_mut(&id.worker)
    }
}

impl Index<FleetId> for Fleets {
    type Output = Fleet;
    fn index(&self, id: FleetId) -> &Fleet {
        &self.fleets[id]
    }
}

impl IndexMut<FleetId> for Fleets {
    fn index_mut(&mut self, id: FleetId) -> &mut Fleet {
        &mut self.fleets[id]
    }
}
