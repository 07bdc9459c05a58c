//! Stand-ins for workers, with slots, a bounded queue, a warm-up, and a connection limit. A worker reports the events of a
//! job to the job's dispatcher by callbacks.

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

/// Timeout for the next request on a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a connection stays open and silent after [`Fault::Silent`], in microseconds.
const SILENCE_DURATION: Micros = 20 * SECOND;

/// Starts a worker's process, cold.
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

/// Accepts connections at one of a worker's addresses; never returns.
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

/// Counts a new connection and returns the worker's incarnation that it belongs to. None if it is to be closed at once: the
/// worker is down or no longer listens at the address, or its connection limit is reached.
fn accept(environment: &TestEnvironment, number: usize, address: u32) -> Option<u32> {
    let mut state = environment.workers[number].state();
    let is_full = state.open_connections >= environment.scenario.workers.max_connections;
    if !state.is_up || state.address != address || is_full {
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
        let id = job_id_from_request(&request);
        let Some(dispatcher) = dispatcher_of(&id) else {
            connection.write(&response(404, "", ""))?;
            continue;
        };
        match environment.apply_link_faults(Participant::Dispatcher(dispatcher), Participant::Worker(number))
        {
            Some(Fault::Reset) => return Ok(()),
            Some(Fault::Silent) => {
                environment.clock.sleep_until(environment.clock.now() + SILENCE_DURATION);
                return Ok(());
            }
            Some(Fault::Late) | None => {}
        }
        if request.start_line[0] == "DELETE" {
            cancel_job(environment, number, &id);
            connection.write(&response(200, "", ""))?;
        } else {
            receive_job(environment, number, dispatcher, id, &mut connection)?;
        }
    }
    Ok(())
}

/// The id in the path of a cancellation, or in the header of a job.
fn job_id_from_request(request: &Message) -> String {
    let path = &request.start_line[1];
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
    environment.record(Observation::JobSent { dispatcher, worker: number });
    let profile = &environment.scenario.workers;
    let worker = &environment.workers[number];
    let mut state = worker.state();
    let accepted = state.running_jobs.len() < profile.slots || state.queued_jobs.len() < profile.queue_limit;
    if accepted {
        state.queued_jobs.push_back(id);
    }
    drop(state);
    if accepted {
        connection.write(&response(202, "", ""))?;
        start_queued_jobs(environment, number);
        return Ok(());
    }
    let load = worker.load(profile.slots);
    let WorkerLoad { free_slots, queue_length } = load;
    let report = format!("X-Rejected: 1\r\nX-Load-Report: TEXT x0={free_slots}, queue={queue_length}\r\n");
    connection.write(&response(503, &report, ""))
}

/// Cancels a job.
fn cancel_job(environment: &Arc<TestEnvironment>, number: usize, id: &str) {
    let mut state = environment.workers[number].state();
    state.queued_jobs.retain(|queued| queued != id);
    state.running_jobs.retain(|running| running != id);
    drop(state);
    start_queued_jobs(environment, number);
}

/// Starts queued jobs while there are free slots.
fn start_queued_jobs(environment: &Arc<TestEnvironment>, number: usize) {
    loop {
        let mut state = environment.workers[number].state();
        if state.running_jobs.len() >= environment.scenario.workers.slots {
            return;
        }
        let Some(id) = state.queued_jobs.pop_front() else { return };
        state.running_jobs.push(id.clone());
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

/// A job that runs on a worker.
struct RunningJob {
    worker: usize,
    incarnation: u32,
    worker_started_at: Option<Micros>,
    id: String,
}

impl RunningJob {
    /// Runs the job, and reports its start and its end.
    fn run(&self, environment: &Arc<TestEnvironment>) {
        let profile = &environment.scenario.workers;
        let now = environment.clock.now();
        let age = self.worker_started_at.map(|started_at| now - started_at);
        let duration = (profile.job_s / profile.capacity_share(age) * 1e6) as Micros;
        let ends_at = environment.clock.now() + duration;
        self.report_event(environment, r#""state":"started""#);
        environment.clock.sleep_until(ends_at);
        if !self.release_slot(environment) {
            return;
        }
        environment.record(Observation::JobFinished(self.worker, self.id.clone()));
        start_queued_jobs(environment, self.worker);
        let load = environment.workers[self.worker].load(profile.slots);
        let WorkerLoad { free_slots, queue_length } = load;
        let id = &self.id;
        self.report_event(
            environment,
            &format!(
                r#""state":"done","result":"made-{id}","load":{{"x0":{free_slots},"queue":{queue_length}}}"#
            ),
        );
    }

    /// Frees the job's slot; false if the job was cancelled or its worker's process has ended.
    fn release_slot(&self, environment: &TestEnvironment) -> bool {
        let mut state = environment.workers[self.worker].state();
        if state.incarnation != self.incarnation || !state.running_jobs.contains(&self.id) {
            return false;
        }
        state.running_jobs.retain(|running| *running != self.id);
        true
    }

    fn report_event(&self, environment: &TestEnvironment, event: &str) {
        let id = &self.id;
        let from = Worker::uid(self.worker);
        let body = format!(r#"{{"id":"{id}","from":"{from}",{event}}}"#);
        environment.deliver_callback(self.worker, id, &body);
    }
}
