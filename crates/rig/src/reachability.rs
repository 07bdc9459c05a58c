//! When dispatchers can reach the discovery service, according to a scenario.

use crate::links::{Fault, LinkFault, Participant};
use crate::scenario::Scenario;
use crate::time::Micros;

impl Scenario {
    /// When a dispatcher can reach the discovery service from then on, or no longer, in chronological order. It can at the start of
    /// the run.
    #[must_use]
    pub fn reachability_changes(&self, dispatcher: usize) -> Vec<(Micros, bool)> {
        let (from, to) = (Participant::Dispatcher(dispatcher), Participant::List);
        let stops_messages = |cut: &&LinkFault| cut.fault != Fault::Late && cut.connects(from, to);
        let cuts = self.cuts.iter().filter(stops_messages).map(|cut| (cut.from_s, cut.until_s));
        let outages = self.list.outages.iter().map(|outage| (outage.from_s, outage.until_s));
        let mut periods: Vec<(f64, f64)> = cuts.chain(outages).collect();
        periods.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut changes: Vec<(Micros, bool)> = Vec::new();
        for (from_s, until_s) in periods {
            let (from, until) = ((from_s * 1e6) as Micros, (until_s * 1e6) as Micros);
            match changes.last_mut() {
                Some((end, _)) if *end >= from => *end = until.max(*end),
                _ => changes.extend([(from, false), (until, true)]),
            }
        }
        changes
    }
}
