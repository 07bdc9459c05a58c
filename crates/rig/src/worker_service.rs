//! Workers as stand-ins: slots, a bounded queue, a warm-up, and a limit of connections. Each reports the events of a job to
//! its dispatcher by callbacks.

use crate::http::{Connection, Message, response};
use crate::job_id::dispatcher_of;
use crate::ledger::{Observation, WarmUp};
use crate::links::{Fault, Participant};
use crate::test_environment::TestEnvironment;
use crate::time::{Micros, SECOND};
use crate::worker::{Worker, WorkerLoad};
use may::net::TcpListener;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// How long a worker waits for the next request on a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a connection stays silent that a fault has hit, in microseconds.
const SILENT_FOR: Micros = 20 * SECOND;

/// A worker's process starts, cold.
pub fn start(environment: &TestEnvironment, number: usize) {
    let profile = &environment.scenario.workers;
    let warm_budget = profile.overload_multiple * profile.slots as f64 / profile.job_s;
    environment.workers[number].start(environment.clock.now());
    environment.record(Observation::WorkerStarted(WarmUp {
        worker: number,
        cold_budget: warm_budget * profile.cold_capacity_share,
        warm_budget,
        duration: (profile.warm_up_s * 1e6) as Micros,
    }));
}

/// Accepts connections without end at one of a worker's addresses.
pub fn serve(environment: &Arc<TestEnvironment>, number: usize, listener: &TcpListener, address: u32) {
    let accept_interval = (environment.scenario.workers.accept_interval_ms * 1e3) as Micros;
    for stream in listener.incoming() {
        let Some(stream) = environment.check_resources(stream) else { continue };
        let environment = environment.clone();
        if accept_interval > 0 {
            environment.clock.sleep_until(environment.clock.now() + accept_interval);
        }
        let Some(incarnation) = accept(&environment, number, address) else { continue };
        environment.record(Observation::ConnectionOpened(number));
        may::go!(move || {
            let _ = serve_connection(&environment, number, incarnation, Connection::new(stream));
            environment.record(Observation::ConnectionClosed(number));
            let mut state = environment.workers[number].state();
            if state.incarnation == incarnation {
                state.open_connections -= 1;
            }
        });
    }
}

/// Counts a new connection; the incarnation that it belongs to. None if it is closed at once: nobody listens at the address
/// any more, or the limit of connections is reached.
fn accept(environment: &TestEnvironment, number: usize, address: u32) -> Option<u32> {
    let mut state = environment.workers[number].state();
    let full = state.open_connections >= environment.scenario.workers.max_connections;
    if !state.up || state.address != address || full {
        return None;
    }
    state.open_connections += 1;
    Some(state.incarnation)
}

fn serve_connection(
    environment: &Arc<TestEnvironment>,
    number: usize,
    incarnation: u32,
    mut connection: Connection,
) -> io::Result<()> {
    connection.set_read_timeout(IDLE_TIMEOUT)?;
    while let Some(request) = connection.read()? {
        if environment.workers[number].state().incarnation != incarnation {
            return Ok(());
        }
        let id = job_id_of(&request);
        let Some(dispatcher) = dispatcher_of(&id) else {
            connection.write(&response(404, "", ""))?;
            continue;
        };
        match environment.pass_link(Participant::Dispatcher(dispatcher), Participant::Worker(number)) {
            Some(Fault::Reset) => return Ok(()),
            Some(Fault::Silent) => {
                environment.clock.sleep_until(environment.clock.now() + SILENT_FOR);
                return Ok(());
            }
            Some(Fault::Late) | None => {}
        }
        if request.start[0] == "DELETE" {
            withdraw(environment, number, &id);
            connection.write(&response(200, "", ""))?;
        } else {
            receive_job(environment, number, dispatcher, id, &mut connection)?;
        }
    }
    Ok(())
}

/// The id in the path of a withdrawal, or in the header of a job.
fn job_id_of(request: &Message) -> String {
    let path = &request.start[1];
    let id = path.strip_prefix("/jobs/").or_else(|| request.header("x-call-id"));
    id.unwrap_or("").to_owned()
}

/// Accepts a job, or rejects it with a load report if slots and queue are full.
fn receive_job(
    environment: &Arc<TestEnvironment>,
    number: usize,
    dispatcher: usize,
    id: String,
    connection: &mut Connection,
) -> io::Result<()> {
    environment.record(Observation::JobReceived(number, id.clone()));
    environment.record(Observation::JobSentBy { dispatcher, worker: number });
    let profile = &environment.scenario.workers;
    let worker = &environment.workers[number];
    let mut state = worker.state();
    let accepted = state.running.len() < profile.slots || state.waiting.len() < profile.queue_limit;
    if accepted {
        state.waiting.push_back(id);
    }
    drop(state);
    if accepted {
        connection.write(&response(202, "", ""))?;
        start_next(environment, number);
        return Ok(());
    }
    let load = worker.load(profile.slots);
    let WorkerLoad { free_slots, queue_length } = load;
    let report = format!("X-Rejected: 1\r\nX-Load-Report: TEXT x0={free_slots}, queue={queue_length}\r\n");
    connection.write(&response(503, &report, ""))
}

/// Ends a job that its dispatcher withdrew.
fn withdraw(environment: &Arc<TestEnvironment>, number: usize, id: &str) {
    let mut state = environment.workers[number].state();
    state.waiting.retain(|waiting| waiting != id);
    state.running.retain(|running| running != id);
    drop(state);
    start_next(environment, number);
}

/// Starts jobs of the queue while there are free slots.
fn start_next(environment: &Arc<TestEnvironment>, number: usize) {
    loop {
        let mut state = environment.workers[number].state();
        if state.running.len() >= environment.scenario.workers.slots {
            return;
        }
        let Some(id) = state.waiting.pop_front() else { return };
        state.running.push(id.clone());
        let job = RunningJob {
            worker: number,
            incarnation: state.incarnation,
            worker_started_at: state.started_at,
            id: id.clone(),
        };
        drop(state);
        environment.record(Observation::JobStarted(number, id));
        let environment = environment.clone();
        may::go!(move || job.run(&environment));
    }
}

/// A job that runs at a worker.
struct RunningJob {
    worker: usize,
    incarnation: u32,
    worker_started_at: Option<Micros>,
    id: String,
}

impl RunningJob {
    /// Runs it, and reports its start and its end.
    fn run(&self, environment: &Arc<TestEnvironment>) {
        let profile = &environment.scenario.workers;
        let now = environment.clock.now();
        let age = self.worker_started_at.map(|started_at| now - started_at);
        let duration = (profile.job_s / profile.capacity_share(age) * 1e6) as Micros;
        let ends_at = environment.clock.now() + duration;
        self.report(environment, r#""state":"started""#);
        environment.clock.sleep_until(ends_at);
        if !self.leave_slot(environment) {
            return;
        }
        environment.record(Observation::JobFinished(self.worker, self.id.clone()));
        start_next(environment, self.worker);
        let load = environment.workers[self.worker].load(profile.slots);
        let WorkerLoad { free_slots, queue_length } = load;
        let id = &self.id;
        self.report(
            environment,
            &format!(
                r#""state":"done","result":"made-{id}","load":{{"x0":{free_slots},"queue":{queue_length}}}"#
            ),
        );
    }

    /// Frees its slot; false if the job was withdrawn, or its worker has ended.
    fn leave_slot(&self, environment: &TestEnvironment) -> bool {
        let mut state = environment.workers[self.worker].state();
        if state.incarnation != self.incarnation || !state.running.contains(&self.id) {
            return false;
        }
        state.running.retain(|running| *running != self.id);
        true
    }

    fn report(&self, environment: &TestEnvironment, event: &str) {
        let id = &self.id;
        let from = Worker::uid(self.worker);
        let body = format!(r#"{{"id":"{id}","from":"{from}",{event}}}"#);
        environment.call_back(self.worker, id, &body);
    }
}
