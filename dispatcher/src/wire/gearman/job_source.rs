//! The jobs that the owner of the decisions polls: each released job is a stream.

use super::Gearman;
use super::job_clients::JobClients;
use crate::core::{JobSource, NewStream, Payload};
use roselock::Micros;
use roselock_backlog::Released;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// The queued jobs of a front.
pub struct GearmanJobSource(
    /// The front.
    pub Arc<Gearman>,
);

impl JobSource for GearmanJobSource {
    fn next(&self, now: Micros) -> Option<NewStream> {
        let front = &self.0;
        let mut jobs = front.jobs.lock();
        let stream = front.inbox.stream_id();
        let Some(released) = jobs.backlog.release(now, || stream) else {
            jobs.is_owner_notified = false;
            return None;
        };
        let job = jobs.backlog.job(released.no)?;
        let registry = front.functions.load();
        let function = &registry.all[job.function];
        let no_client = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let client = job.waiters.first().map_or(no_client, |waiter| waiter.context.peer.address);
        let clients = JobClients {
            front: front.clone(),
            job_no: released.no,
            stream,
            earlier_attempts: released.attempts,
            is_idempotent: function.idempotent[released.priority],
        };
        Some(NewStream {
            id: stream,
            fleet: function.fleet,
            class: function.classes[released.priority],
            tenant: function.tenant,
            key: None,
            slots: 1.0,
            memory: 0.0,
            hint: None,
            deadline: released.deadline,
            prior_attempts: released.attempts,
            peer: client,
            payload: Arc::new(front.release_payload(&released)),
            downstream: Box::new(clients),
        })
    }

    fn next_due(&self) -> Option<Micros> {
        self.0.jobs.lock().backlog.next_release_at()
    }

    fn shut_down(&self) {
        self.0.drain_waiting_jobs();
    }
}

impl Gearman {
    /// The payload of a release: that of the job, with an id that no other release has.
    fn release_payload(&self, released: &Released<Payload>) -> Payload {
        let job = &released.payload;
        let release = released.earlier_releases;
        let id = format!("{:016x}-{}-{release}", self.incarnation, released.no);
        Payload {
            raw: job.raw.clone(),
            assigned_id: Some(id),
            method: job.method.clone(),
            target: job.target.clone(),
            reducer: job.reducer.clone(),
            body: job.body.clone(),
            ..Payload::default()
        }
    }
}
