//! One dispatcher with the names its ids stand for on the wire.

use crate::wire;
use roselock::settings::{Options, Site, fnv, micros};
use roselock::*;
use std::collections::HashMap;
use std::fmt::Write;

/// An instance between its `attach` and its `down`.
pub struct Instance {
    dispatcher: Dispatcher,
    events: Vec<Event>,
    actions: Vec<Action>,
    /// Addresses by the id derived from them.
    workers: HashMap<u64, String>,
    site: Site,
}

impl Instance {
    pub fn new(seed: u64, o: &Options) -> Result<Instance, String> {
        let site = o.site().map_err(|e| e.to_string())?;
        let dispatcher = Dispatcher::new(site.settings.clone(), seed);
        Ok(Instance {
            dispatcher: dispatcher.map_err(|e| format!("attach: settings: {e}"))?,
            site,
            events: Vec::new(),
            actions: Vec::new(),
            workers: HashMap::new(),
        })
    }

    /// Queues an event for the next step, which is at `now`.
    pub fn take(&mut self, now: Micros, event: &wire::Event) -> Result<(), String> {
        let event = match event {
            wire::Event::Attach { .. } | wire::Event::Down | wire::Event::Datagram => return Ok(()),
            wire::Event::Fleet { mode, .. } if mode.0 == "X" => {
                let end = WatchEnd { reason: WatchEndReason::Refused, in_sync_until: now };
                Event::WatchEnded(end)
            }
            wire::Event::Fleet { mode, hosts } => {
                let mode = match &*mode.0 {
                    "D" => ListMode::Changes,
                    "F" => ListMode::Complete,
                    "C" => ListMode::Cached,
                    other => return Err(format!("fleet: unknown mode {other:?}")),
                };
                let entries = hosts.iter().map(|h| self.entry(h)).collect::<Result<_, _>>()?;
                Event::EndpointList { mode, endpoints: entries }
            }
            wire::Event::JobIn(j) => Event::JobArrived(JobRequest {
                job: JobId(j.rid),
                class: match self.site.classes.known(&j.service.0) {
                    Some(c) => ClassId(c as u16),
                    None => return Err(format!("jobIn: unknown service {:?}", j.service.0)),
                },
                tenant: self.site.tenants.known(&j.team.0).map(|t| TenantId(t as u16)),
                slots: j.slots,
                memory: j.memory,
                work_hint: j.hint,
                key: (!j.key.0.is_empty()).then(|| KeyId(fnv(j.key.0.as_bytes()))),
                budget: micros(j.budget),
            }),
            wire::Event::Health { verdict, worker, gauge } => Event::HealthCheckEnded {
                worker: WorkerId(fnv(worker.0.as_bytes())),
                ok: verdict.0 == "OK",
                report: self.site.load_report(gauge),
            },
            wire::Event::Notice { rid, round, what, amount } => {
                let note = match what {
                    1 => AttemptUpdate::Started,
                    2 => AttemptUpdate::Progress(*amount),
                    _ => return Ok(()),
                };
                Event::AttemptProgress { job: JobId(*rid), attempt: *round, update: note }
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
        self.events.push(event);
        Ok(())
    }

    fn entry(&mut self, h: &wire::Host) -> Result<Endpoint, String> {
        let worker = fnv(h.worker.0.as_bytes());
        self.workers.entry(worker).or_insert_with(|| h.worker.0.to_string());
        Ok(Endpoint {
            worker: WorkerId(worker),
            state: match &*h.health.0 {
                "ready" => EndpointState::Ready,
                "draining" => EndpointState::Draining,
                "gone" => EndpointState::Gone,
                other => return Err(format!("fleet: unknown health {other:?}")),
            },
            zone: ZoneId(self.site.zones.id(&h.site.0) as u16),
            cell: CellId(h.cell),
            kind: KindId(self.site.kinds.id(&h.sku.0) as u16),
            units: h.units,
            started_at: (h.up_since > 0.0).then(|| micros(h.up_since)),
        })
    }

    /// Runs the queued events and appends the actions in the wire's form, with commas between.
    pub fn step(&mut self, now: Micros, reply: &mut String) {
        self.actions.clear();
        self.dispatcher.step(now, &self.events, &mut self.actions);
        self.events.clear();
        for (i, action) in self.actions.iter().enumerate() {
            if i > 0 {
                reply.push(',');
            }
            write_action(action, &self.workers, reply);
        }
    }
}

fn outcome(code: &str) -> Result<Outcome, String> {
    Ok(match code {
        "OK" => Outcome::Ok,
        "INTERNAL" => Outcome::Error,
        "RESOURCE_EXHAUSTED" => Outcome::Rejected,
        "DEADLINE_EXCEEDED" => Outcome::Timeout,
        "UNAVAILABLE" => Outcome::ConnectFailed,
        "ABORTED" => Outcome::Reset,
        "CANCELLED" => Outcome::Cancelled,
        "TOO_LATE" => Outcome::NotStarted,
        other => return Err(format!("verdict: unknown code {other:?}")),
    })
}

fn write_action(action: &Action, workers: &HashMap<u64, String>, reply: &mut String) {
    let seconds = |t: Micros| t as f64 / SECOND as f64;
    let text = |t: &str| serde_json::Value::from(t).to_string();
    let address = |w: &WorkerId| workers.get(&w.0).map_or("", |s| s.as_str());
    let worker = |w: &WorkerId| text(address(w));
    // Writing to a string cannot fail.
    let _ = match action {
        Action::Send { job, worker: w, timeout } => {
            write!(reply, r#"["callOut",{},{},{}]"#, job.0, worker(w), seconds(*timeout))
        }
        Action::Cancel { job, attempt } => write!(reply, r#"["abortAttempt",{},{attempt}]"#, job.0),
        Action::Reject { job, retry_after } => {
            write!(reply, r#"["bounce",{},{}]"#, job.0, seconds(*retry_after))
        }
        Action::Fail { job } => write!(reply, r#"["reportFailure",{}]"#, job.0),
        Action::Timer { delay, token } => write!(reply, r#"["defer",{},{token}]"#, seconds(*delay)),
        Action::WatchEndpoints => write!(reply, r#"["watch",true]"#),
        Action::HealthCheck(w) => write!(reply, r#"["soundOut",{}]"#, worker(w)),
        Action::CloseIdleConnections(w) => write!(reply, r#"["hangUp",{}]"#, worker(w)),
        Action::Log { message: said, worker: w } => {
            write!(reply, r#"["sayLog",{}]"#, text(&format!("{} {said}", address(w))))
        }
    };
}
