//! The job source that the event loop polls: each released job becomes a stream.

use super::Gearman;
use super::job_clients::JobClients;
use crate::core::{JobSource, NewStream, Payload};
use roselock::Micros;
use roselock_backlog::Released;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// The queued jobs of a Gearman front end, as a [`JobSource`].
pub struct GearmanJobSource(
    /// The front end.
    pub Arc<Gearman>,
);

impl JobSource for GearmanJobSource {
    fn next(&self, now: Micros) -> Option<NewStream> {
        let front = &self.0;
        let mut jobs = front.jobs.lock();
        let stream = front.inbox.next_stream_id();
        let Some(released) = jobs.backlog.release(now, || stream) else {
            jobs.is_event_loop_notified = false;
            return None;
        };
        let job = jobs.backlog.job(released.no)?;
        let registry = front.function_registry.load();
        let function = &registry.functions[job.function];
        let placeholder = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let client_address = job.waiters.first().map_or(placeholder, |waiter| waiter.context.peer.address);
        let clients = JobClients {
            front: front.clone(),
            job_no: released.no,
            stream,
            prior_attempts: released.attempts,
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
            peer: client_address,
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
    /// The payload of a release: the job's payload with an ID that is unique to the release.
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
