//! Release of ready jobs: start-time fair queueing among tenants, and ageing within a tenant.

use crate::job::{ReleasedJob, State};
use crate::{AGEING_INTERVAL, JobQueue, Micros};

impl<P> JobQueue<P> {
    /// Releases the next job, if one is ready.
    pub fn release(&mut self, now: Micros) -> Option<ReleasedJob<P>> {
        let (bits, tenant) = self.by_virtual_time.pop_first()?;
        let tenant_state = &mut self.tenants[tenant];
        self.virtual_time = self.virtual_time.max(f64::from_bits(bits));
        tenant_state.releases_since_oldest += 1;
        let by_age = tenant_state.releases_since_oldest >= AGEING_INTERVAL;
        if by_age {
            tenant_state.releases_since_oldest = 0;
        }
        let key = tenant_state.queues.first(by_age).expect("a tenant in the release order has a ready job");
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
