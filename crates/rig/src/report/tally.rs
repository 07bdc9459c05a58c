//! Counts of the observations of a ledger.

use crate::ledger::{Ledger, Observation, RequestEnd};
use crate::time::{Micros, SECOND};
use std::collections::HashMap;

/// Length of the spans by which arrivals are grouped, in microseconds.
const SPAN_LENGTH: Micros = 5 * SECOND;

/// Counts of the requests that arrived in one span.
#[derive(Clone, Copy, Default)]
pub(super) struct Span {
    arrived: usize,
    in_time: usize,
}

impl Span {
    /// The share that was served in time; 0 if none arrived.
    pub(super) fn share_in_time(self) -> f64 {
        self.in_time as f64 / self.arrived.max(1) as f64
    }
}

/// Connections of one worker.
#[derive(Default)]
struct WorkerConnections {
    /// When the connections of the last second were established.
    recent: Vec<Micros>,
    open: usize,
}

/// Counts of the observations of a ledger.
#[derive(Default)]
pub(super) struct Tally {
    pub(super) calls: usize,
    pub(super) failed_calls: usize,
    pub(super) longest_queue: usize,
    /// Start times of the dispatchers that have not received a list since their start.
    pub(super) waiting_for_list: HashMap<usize, Micros>,
    /// Times from a start to the first list, in microseconds, in ascending order.
    pub(super) first_lists: Vec<Micros>,
    connections: HashMap<usize, WorkerConnections>,
    pub(super) peak_handshakes_per_s: usize,
    pub(super) peak_open_connections: usize,
    /// Numbers of attempts, by [`RequestEnd::key`].
    pub(super) request_ends: HashMap<String, usize>,
    /// Attempts that ended in each second: served, rejected and others.
    pub(super) by_second: Vec<[usize; 3]>,
    /// Requests by the span in which they arrived.
    pub(super) spans: Vec<Span>,
    /// Arrival times of all requests.
    pub(super) arrivals: Vec<Micros>,
    /// Time of the last start of each worker; `None` if it was started before the run.
    pub(super) worker_starts: Vec<Option<Micros>>,
}

impl Tally {
    pub(super) fn from_ledger(ledger: &Ledger, workers: usize) -> Tally {
        let mut tally = Tally { worker_starts: vec![None; workers], ..Tally::default() };
        for (now, observation) in &ledger.0 {
            tally.count(*now, observation);
        }
        tally.first_lists.sort_unstable();
        tally
    }

    /// The sum of all spans.
    pub(super) fn all_spans(&self) -> Span {
        let mut all = Span::default();
        for span in &self.spans {
            all.arrived += span.arrived;
            all.in_time += span.in_time;
        }
        all
    }

    fn count(&mut self, now: Micros, observation: &Observation) {
        match observation {
            Observation::WorkerStarted(warm_up) => self.worker_starts[warm_up.worker] = Some(now),
            Observation::ListCall { queue, .. } => {
                self.calls += 1;
                self.longest_queue = self.longest_queue.max(*queue);
            }
            Observation::ListCallFailed(_) => self.failed_calls += 1,
            Observation::DispatcherStarted(dispatcher) => {
                self.waiting_for_list.insert(*dispatcher, now);
            }
            Observation::ListReceived(dispatcher) => {
                if let Some(started_at) = self.waiting_for_list.remove(dispatcher) {
                    self.first_lists.push(now - started_at);
                }
            }
            Observation::ConnectionOpened(worker) => self.count_connection(now, *worker),
            Observation::ConnectionClosed(worker) => {
                if let Some(connections) = self.connections.get_mut(worker) {
                    connections.open -= 1;
                }
            }
            Observation::RequestEnded(_, end) => self.count_attempt_end(now, *end),
            Observation::RequestCompleted { arrived, in_time } => self.count_request(*arrived, *in_time),
            _ => {}
        }
    }

    fn count_connection(&mut self, now: Micros, worker: usize) {
        let connections = self.connections.entry(worker).or_default();
        connections.recent.retain(|opened_at| now - opened_at < SECOND);
        connections.recent.push(now);
        connections.open += 1;
        self.peak_handshakes_per_s = self.peak_handshakes_per_s.max(connections.recent.len());
        self.peak_open_connections = self.peak_open_connections.max(connections.open);
    }

    fn count_attempt_end(&mut self, now: Micros, end: RequestEnd) {
        *self.request_ends.entry(end.key().to_owned()).or_insert(0) += 1;
        let second = (now / SECOND) as usize;
        if self.by_second.len() <= second {
            self.by_second.resize(second + 1, [0; 3]);
        }
        let kind = match end {
            RequestEnd::Served => 0,
            RequestEnd::Rejected => 1,
            RequestEnd::Failed | RequestEnd::NotAccepted | RequestEnd::Lost => 2,
        };
        self.by_second[second][kind] += 1;
    }

    fn count_request(&mut self, arrived: Micros, in_time: bool) {
        self.arrivals.push(arrived);
        let number = (arrived / SPAN_LENGTH) as usize;
        if self.spans.len() <= number {
            self.spans.resize(number + 1, Span::default());
        }
        let span = &mut self.spans[number];
        span.arrived += 1;
        span.in_time += usize::from(in_time);
    }
}
