//! One dispatcher, with the names that its ids stand for on the wire.

use crate::reply::write_action;
use crate::wire;
use roselock::settings::{Options, OptionsError, Site, fnv, micros};
use roselock::*;
use std::collections::HashMap;

/// Codes of a notice's `what`.
const NOTICE_STARTED: u64 = 1;
const NOTICE_PROGRESS: u64 = 2;

/// Why an event can't be applied.
#[derive(Debug, thiserror::Error)]
pub enum InstanceError {
    /// The options can't be translated.
    #[error(transparent)]
    Options(#[from] OptionsError),
    /// A setting is out of its range.
    #[error("attach: settings: {0}")]
    Settings(#[from] SettingsError),
    /// A list's mode is none of the known letters.
    #[error("fleet: unknown mode {0:?}")]
    UnknownMode(String),
    /// A worker's state is none of the known words.
    #[error("fleet: unknown health {0:?}")]
    UnknownHealth(String),
    /// A job's request class is not in the options.
    #[error("jobIn: unknown service {0:?}")]
    UnknownService(String),
    /// An attempt ended with none of the known codes.
    #[error("verdict: unknown code {0:?}")]
    UnknownCode(String),
}

/// An instance between its `attach` and its `down`.
pub struct Instance {
    dispatcher: Dispatcher,
    /// Events for the next step.
    events: Vec<Event>,
    /// Actions of the latest step.
    actions: Vec<Action>,
    /// Addresses by the worker id derived from them.
    addresses: HashMap<u64, String>,
    site: Site,
}

impl Instance {
    /// A dispatcher with these options; `seed` is that of its random draws.
    pub fn new(seed: u64, options: &Options) -> Result<Instance, InstanceError> {
        let site = options.site()?;
        let dispatcher = Dispatcher::new(site.settings.clone(), seed)?;
        Ok(Instance { dispatcher, events: Vec::new(), actions: Vec::new(), addresses: HashMap::new(), site })
    }

    /// Queues an event for the next step, which is at `now`.
    pub fn queue(&mut self, now: Micros, event: &wire::Event) -> Result<(), InstanceError> {
        let translated = self.translate(now, event)?;
        self.events.extend(translated);
        Ok(())
    }

    /// The event in the dispatcher's terms; `None` if it is none of the dispatcher's concern.
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

    /// Mode `X` stands for a call to discovery that failed.
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
            zone: ZoneId(self.site.zones.id(&host.site.0) as u16),
            cell: CellId(host.cell),
            kind: KindId(self.site.kinds.id(&host.sku.0) as u16),
            units: host.units,
            started_at: (host.up_since > 0.0).then(|| micros(host.up_since)),
        })
    }

    fn request(&self, job: &wire::JobIn) -> Result<JobRequest, InstanceError> {
        let Some(class) = self.site.classes.known(&job.service.0) else {
            return Err(InstanceError::UnknownService(job.service.0.to_string()));
        };
        let tenant = self.site.tenants.known(&job.team.0);
        let has_key = !job.key.0.is_empty();
        Ok(JobRequest {
            job: JobId(job.rid),
            class: ClassId(class as u16),
            tenant: tenant.map(|id| TenantId(id as u16)),
            slots: job.slots,
            memory: job.memory,
            work_hint: job.hint,
            key: has_key.then(|| KeyId(fnv(job.key.0.as_bytes()))),
            budget: micros(job.budget),
        })
    }

    /// Runs the queued events at `now` and appends the actions in the wire's form, separated by commas. Returns whether there
    /// were any.
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
    WorkerId(fnv(address.0.as_bytes()))
}

/// What a notice says of an attempt; `None` for codes that this dispatcher has no use for.
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
