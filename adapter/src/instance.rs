//! A dispatcher instance, with the mapping between its ids and the names on the wire.

use crate::reply::write_action;
use crate::wire;
use roselock::settings::{Options, OptionsError, Site, fnv1a, micros_from_seconds};
use roselock::*;
use std::collections::HashMap;

/// Code of a `notice`: the attempt has started.
const NOTICE_STARTED: u64 = 1;
/// Code of a `notice`: the attempt has made progress.
const NOTICE_PROGRESS: u64 = 2;

/// Why an event cannot be applied.
#[derive(Debug, thiserror::Error)]
pub enum InstanceError {
    /// The options are invalid.
    #[error(transparent)]
    Options(#[from] OptionsError),
    /// A setting is out of range.
    #[error("attach: settings: {0}")]
    Settings(#[from] SettingsError),
    /// The mode of an endpoint list is not a known letter.
    #[error("fleet: unknown mode {0:?}")]
    UnknownMode(String),
    /// The health of a worker is not a known state.
    #[error("fleet: unknown health {0:?}")]
    UnknownHealth(String),
    /// The request class of a job is not in the options.
    #[error("jobIn: unknown service {0:?}")]
    UnknownService(String),
    /// The outcome of an attempt is not a known code.
    #[error("verdict: unknown code {0:?}")]
    UnknownCode(String),
}

/// An instance, from its `attach` to its `down`.
pub struct Instance {
    dispatcher: Dispatcher,
    /// Events for the next step.
    events: Vec<Event>,
    /// Actions of the latest step.
    actions: Vec<Action>,
    /// Worker addresses, by the worker id that is derived from the address.
    addresses: HashMap<u64, String>,
    site: Site,
}

impl Instance {
    /// Creates a dispatcher with these options; `seed` seeds its random number generator.
    pub fn new(seed: u64, options: &Options) -> Result<Instance, InstanceError> {
        let site = options.site()?;
        let dispatcher = Dispatcher::new(site.settings.clone(), seed)?;
        Ok(Instance { dispatcher, events: Vec::new(), actions: Vec::new(), addresses: HashMap::new(), site })
    }

    /// Queues an event for the next step, which takes place at `now`.
    pub fn queue(&mut self, now: Micros, event: &wire::Event) -> Result<(), InstanceError> {
        let translated = self.translate(now, event)?;
        self.events.extend(translated);
        Ok(())
    }

    /// Translates an event to the dispatcher's type; `None` if the dispatcher does not handle it.
    fn translate(&mut self, now: Micros, event: &wire::Event) -> Result<Option<Event>, InstanceError> {
        let translated = match event {
            wire::Event::Attach { .. } | wire::Event::Down | wire::Event::Datagram => return Ok(None),
            wire::Event::Fleet { mode, hosts } => self.endpoint_list(now, &mode.0, hosts)?,
            wire::Event::JobIn(job) => Event::JobArrived(self.request(job)?),
            wire::Event::Health { verdict, worker, gauge } => Event::HealthCheckEnded {
                worker: worker_id(worker),
                ok: verdict.0 == "OK",
                report: self.site.load_report(gauge),
            },
            wire::Event::Notice { rid, round, what, amount } => {
                let Some(update) = attempt_update(*what, *amount) else { return Ok(None) };
                Event::AttemptProgress { job: JobId(*rid), attempt: *round, update }
            }
            wire::Event::Alarm { nonce } => Event::TimerFired(*nonce),
            wire::Event::Cancelled { rid } => Event::ClientDisconnected(JobId(*rid)),
            wire::Event::Verdict { rid, round, verdict, last, gauge } => Event::AttemptEnded {
                job: JobId(*rid),
                attempt: *round,
                outcome: outcome(&verdict.0)?,
                concluded: *last,
                report: self.site.load_report(gauge),
            },
            wire::Event::Accepted { rid, round } => {
                Event::StreamAccepted { job: JobId(*rid), attempt: *round }
            }
        };
        Ok(Some(translated))
    }

    /// Translates an endpoint list. Mode `X` means that the call to the discovery service failed.
    fn endpoint_list(
        &mut self,
        now: Micros,
        mode: &str,
        hosts: &[wire::Host],
    ) -> Result<Event, InstanceError> {
        let mode = match mode {
            "X" => {
                let end = WatchEnd { reason: WatchEndReason::Refused, in_sync_until: now };
                return Ok(Event::WatchEnded(end));
            }
            "D" => ListMode::Changes,
            "F" => ListMode::Complete,
            "C" => ListMode::Cached,
            other => return Err(InstanceError::UnknownMode(other.to_owned())),
        };
        let mut endpoints = Vec::with_capacity(hosts.len());
        for host in hosts {
            endpoints.push(self.endpoint(host)?);
        }
        Ok(Event::EndpointList { mode, endpoints })
    }

    fn endpoint(&mut self, host: &wire::Host) -> Result<Endpoint, InstanceError> {
        let worker = worker_id(&host.worker);
        self.addresses.entry(worker.0).or_insert_with(|| host.worker.0.to_string());
        let state = match &*host.health.0 {
            "ready" => EndpointState::Ready,
            "draining" => EndpointState::Draining,
            "gone" => EndpointState::Gone,
            other => return Err(InstanceError::UnknownHealth(other.to_owned())),
        };
        Ok(Endpoint {
            worker,
            state,
            zone: ZoneId(self.site.zones.get_or_insert(&host.site.0) as u16),
            cell: CellId(host.cell),
            kind: KindId(self.site.kinds.get_or_insert(&host.sku.0) as u16),
            units: host.units,
            started_at: (host.up_since > 0.0).then(|| micros_from_seconds(host.up_since)),
        })
    }

    fn request(&self, job: &wire::JobIn) -> Result<JobRequest, InstanceError> {
        let Some(class) = self.site.classes.get(&job.service.0) else {
            return Err(InstanceError::UnknownService(job.service.0.to_string()));
        };
        let tenant = self.site.tenants.get(&job.team.0);
        let has_key = !job.key.0.is_empty();
        Ok(JobRequest {
            job: JobId(job.rid),
            class: ClassId(class as u16),
            tenant: tenant.map(|id| TenantId(id as u16)),
            slots: job.slots,
            memory: job.memory,
            work_hint: job.hint,
            key: has_key.then(|| KeyId(fnv1a(job.key.0.as_bytes()))),
            budget: micros_from_seconds(job.budget),
        })
    }

    /// Steps the dispatcher with the queued events at `now` and appends its actions in wire format, separated by commas.
    /// Returns whether there were any.
    pub fn step(&mut self, now: Micros, reply: &mut String) -> bool {
        self.actions.clear();
        self.dispatcher.step(now, &self.events, &mut self.actions);
        self.events.clear();
        for (index, action) in self.actions.iter().enumerate() {
            if index > 0 {
                reply.push(',');
            }
            write_action(action, &self.addresses, reply);
        }
        !self.actions.is_empty()
    }
}

fn worker_id(address: &wire::Name) -> WorkerId {
    WorkerId(fnv1a(address.0.as_bytes()))
}

/// Translates a notice about an attempt; `None` for codes that the dispatcher does not handle.
fn attempt_update(what: u64, amount: f64) -> Option<AttemptUpdate> {
    match what {
        NOTICE_STARTED => Some(AttemptUpdate::Started),
        NOTICE_PROGRESS => Some(AttemptUpdate::Progress(amount)),
        _ => None,
    }
}

fn outcome(code: &str) -> Result<Outcome, InstanceError> {
    match code {
        "OK" => Ok(Outcome::Ok),
        "INTERNAL" => Ok(Outcome::Error),
        "RESOURCE_EXHAUSTED" => Ok(Outcome::Rejected),
        "DEADLINE_EXCEEDED" => Ok(Outcome::Timeout),
        "UNAVAILABLE" => Ok(Outcome::ConnectFailed),
        "ABORTED" => Ok(Outcome::Reset),
        "CANCELLED" => Ok(Outcome::Cancelled),
        "TOO_LATE" => Ok(Outcome::NotStarted),
        other => Err(InstanceError::UnknownCode(other.to_owned())),
    }
}
