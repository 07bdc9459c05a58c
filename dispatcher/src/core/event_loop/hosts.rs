//! Upstream hosts: the list, and their idle connections.

use super::*;
use roselock_dial_limiter::SURPLUS_AFTER;

impl Core {
    pub(super) fn list(&mut self, f: FleetId, mode: ListMode, hosts: Vec<ListedHost>) {
        self.admin.suspensions.note_listed(hosts.iter().map(|h| h.uid.as_str()));
        // What a host that came to us took no notice of before it left has not run.
        for listed in hosts.iter().filter(|h| h.endpoint.state == EndpointState::Gone && h.address.is_none())
        {
            let here =
                |u: &Upstream| u.fleet == f && u.host == listed.endpoint.worker && !u.taken && !u.ended;
            let unseen: Vec<_> = self.upstreams.iter().filter(|u| here(u.1)).map(|u| *u.0).collect();
            for id in unseen {
                self.heard(
                    id,
                    UpstreamEvent::Ended {
                        outcome: Outcome::ConnectFailed,
                        report: LoadReport::default(),
                        body: Vec::new(),
                    },
                    ConnectionState::Closed,
                );
            }
        }
        let fleet = &mut self.fleets[f];
        if mode.is_complete() {
            for (id, host) in &mut fleet.hosts {
                if !hosts.iter().any(|h| h.endpoint.worker == *id) {
                    host.entry.state = EndpointState::Gone;
                    host.pool.clear();
                }
            }
        }
        let mut entries = Vec::with_capacity(hosts.len());
        for listed in hosts {
            entries.push(listed.endpoint.clone());
            let host = fleet.hosts.entry(listed.endpoint.worker).or_insert_with(|| Host {
                uid: listed.uid.clone(),
                endpoint: None,
                pool: Pool::default(),
                link: None,
                entry: listed.endpoint.clone(),
                dial_limiter: DialLimiter::new(clock::now()),
                dial_queue: VecDeque::new(),
                preconnecting: false,
            });
            let restarted = listed.endpoint.started_at != host.entry.started_at;
            if restarted || listed.address != host.endpoint || listed.endpoint.state != EndpointState::Ready {
                host.pool.clear();
                host.dial_limiter = DialLimiter::new(clock::now());
            }
            (host.endpoint, host.entry) = (listed.address, listed.endpoint);
            host.link = listed.connection;
        }
        let gone = |h: &Host| h.entry.state == EndpointState::Gone;
        if fleet.hosts.values().filter(|h| gone(h)).count() > GONE_HOSTS {
            fleet.hosts.retain(|_, h| !gone(h));
        }
        fleet.events.push(Event::EndpointList { mode, endpoints: entries });
        self.clear_dial_queues(|host| host.entry.state != EndpointState::Ready);
        self.hold_back_at(f, |host| host.entry.state != EndpointState::Ready);
        self.update_readiness();
    }

    /// The process is ready once some host takes work and the list has been fit to act on. From then on a list that is out
    /// of date makes no process unready: all would be so at the same time.
    pub(super) fn update_readiness(&mut self) {
        let mut listing = self.fleets.iter().filter(|f| f.dialer.is_some());
        self.list_was_usable |= listing.all(|f| f.dispatcher.list_is_valid());
        let mut hosts = self.fleets.iter().flat_map(|f| f.hosts.values());
        let takes_work = hosts.any(|h| h.entry.state == EndpointState::Ready);
        self.inbox.set_has_ready_host(takes_work && self.list_was_usable);
    }

    /// Says when a list becomes too old to act on, and when it is in step again.
    pub(super) fn log_list_age(&mut self, f: FleetId) {
        let fleet = &mut self.fleets[f];
        let holds = fleet.dispatcher.list_is_valid();
        if std::mem::replace(&mut fleet.list_holds, holds) == holds {
            return;
        }
        if !self.list_was_usable {
            self.update_readiness();
        } else if holds {
            tracing::info!("the list of hosts is in step again");
        } else {
            tracing::warn!(
                "the list of hosts is out of date: nothing new is sent until the list service answers"
            );
        }
    }

    /// Closes connections well before their hosts would.
    pub(super) fn sweep(&mut self, now: Micros) {
        if now - self.swept < 500_000 {
            return;
        }
        self.swept = now;
        for fleet in &mut self.fleets {
            let told = now - told_idle(&fleet.set);
            let trusted = fleet.trust.since(now, Need::Repeatable);
            // Where connections are scarce, one that rests keeps another dispatcher out.
            let scarce = fleet.dial_limits.is_some();
            let since = if scarce { told.max(now - SURPLUS_AFTER) } else { told };
            for host in fleet.hosts.values_mut() {
                host.pool.expire(since);
                host.pool.thin(trusted);
            }
        }
    }
}
