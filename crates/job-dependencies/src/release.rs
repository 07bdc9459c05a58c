//! Release of ready jobs: start-time fair queueing among tenants by their shares, and ageing within a tenant.

use crate::job::{ReleasedJob, State};
use crate::{AGEING_INTERVAL, Micros, Waiting};

impl<P> Waiting<P> {
    /// Releases the next job.
    pub fn release(&mut self, now: Micros) -> Option<ReleasedJob<P>> {
        let (bits, tenant) = self.by_virtual_time.pop_first()?;
        let tenant_state = &mut self.tenants[tenant];
        self.virtual_time = self.virtual_time.max(f64::from_bits(bits));
        tenant_state.since_aged += 1;
        let aged = tenant_state.since_aged >= AGEING_INTERVAL;
        if aged {
            tenant_state.since_aged = 0;
        }
        let key = tenant_state.queues.first(aged).expect("a tenant that has a turn has a job");
        let class = self.jobs[key].class;
        tenant_state.queues.remove(class, key, &mut self.links);
        tenant_state.virtual_time += 1.0 / tenant_state.share;
        if tenant_state.queues.len > 0 {
            self.by_virtual_time.insert((tenant_state.virtual_time.to_bits(), tenant));
        }
        let job = &mut self.jobs[key];
        job.state = State::Released;
        self.deadlines.remove(&(job.deadline, key));
        debug_assert!(job.ready_since <= now);
        let payload = job.payload.take()?;
        Some(ReleasedJob { id: job.id, tenant, class, ready_since: job.ready_since, payload })
    }
}
