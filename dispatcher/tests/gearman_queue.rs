//! The queue of the Gearman front end: jobs wait, are queued again or end, and clients and operators are notified.

mod common;
use common::gearman::*;
use common::*;
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const BASE_CONFIG: &str = "cold_s = 0.0\ngrab_s = 0.3\nadmins = [\"127.0.0.1\"]\n";

fn function_entry(name: &str, class: &str, deadline_s: f64) -> String {
    format!(
        "[[function]]\nname = \"{name}\"\nclass = \"{class}\"\ndeadline_s = {deadline_s:.1}\ntarget = \"gearman\"\n"
    )
}

/// Functions `view` (idempotent), `bill` (a payment) and `brief` (idempotent, with an attempt time-out of one second).
fn functions() -> String {
    [
        BASE_CONFIG,
        &function_entry("view", "look", 15.0),
        &function_entry("bill", "pay", 15.0),
        &function_entry("brief", "look", 1.0),
    ]
    .concat()
}

struct GearmanFront {
    _discovery: MockDiscovery,
    dispatcher: Dispatcher,
    address: SocketAddr,
}

impl GearmanFront {
    fn with(functions: &str, promise_s: f64) -> GearmanFront {
        let discovery = MockDiscovery::start();
        let none = endpoint_list(1, true, &[]);
        let dispatcher =
            Dispatcher::start(discovery.address, &settings(0.0, promise_s), &none, Some(functions));
        let address = dispatcher.gearman.expect("Gearman front is not enabled");
        GearmanFront { _discovery: discovery, dispatcher, address }
    }
    fn new() -> GearmanFront {
        GearmanFront::with(&functions(), 0.2)
    }
    fn connect(&self) -> GearmanPeer {
        GearmanPeer::new(self.address)
    }
    fn worker(&self, functions: &[&str]) -> GearmanPeer {
        let mut worker = self.connect();
        worker.register(functions);
        worker
    }
    /// Starts workers that serve until their connections end. The channel receives the function and data of each job as it
    /// starts.
    fn start_workers(
        &self,
        workers: usize,
        functions: &[&str],
        each: Duration,
    ) -> Receiver<(String, String)> {
        let (started, jobs) = channel();
        for _ in 0..workers {
            let (mut worker, started) = (self.worker(functions), started.clone());
            std::thread::spawn(move || {
                while let Some(job) = worker.next_job() {
                    let _ = started.send((job[1].clone(), job[2].clone()));
                    std::thread::sleep(each);
                    let _ = worker.try_send(WORK_COMPLETE, &[&job[0], &job[2]]);
                    let _ = worker.try_send(GRAB_JOB, &[]);
                }
            });
        }
        jobs
    }
    fn wait_for_admin_line(&self, command: &str, key: &str, expected: &str) {
        self.connect().wait_for_admin_line(command, key, expected);
    }
}

/// The number of final responses for a handle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct FinalResponses {
    served: usize,
    failed: usize,
}

/// One result and no failure.
const SERVED_ONCE: FinalResponses = FinalResponses { served: 1, failed: 0 };

/// Reads until this many final responses have been received, and counts them by handle.
fn final_responses(client: &mut GearmanPeer, expected: usize) -> BTreeMap<String, FinalResponses> {
    let mut answers: BTreeMap<String, FinalResponses> = BTreeMap::new();
    let mut received = 0;
    while received < expected {
        let (kind, args) = client.read();
        let answer = answers.entry(args[0].clone()).or_default();
        match kind {
            WORK_COMPLETE => answer.served += 1,
            WORK_FAIL => answer.failed += 1,
            _ => continue,
        }
        received += 1;
    }
    answers
}

/// The jobs of a burst wait for workers, and each is served once. Regression: 185 of 200 jobs were rejected as late, and 186
/// of 200 background jobs were lost without notice.
#[rstest]
#[case::foreground(SUBMIT_JOB)]
#[case::background(SUBMIT_JOB_BG)]
fn each_job_of_a_burst_is_served_once(#[case] kind: u32) {
    let front = GearmanFront::new();
    let ran = front.start_workers(2, &["bill"], Duration::ZERO);
    let mut client = front.connect();
    (0..200).for_each(|i| client.send(kind, &["bill", "", &i.to_string()]));
    if kind == SUBMIT_JOB {
        let answers = final_responses(&mut client, 200);
        assert_eq!(answers.values().filter(|answer| **answer == SERVED_ONCE).count(), 200);
    }
    let mut jobs: Vec<String> = (0..200).map(|_| ran.recv_timeout(WAIT_TIMEOUT).expect("no run").1).collect();
    jobs.sort_by_key(|j| j.parse::<u32>().expect("not a number"));
    assert_eq!(jobs, (0..200).map(|i| i.to_string()).collect::<Vec<_>>());
    front.wait_for_admin_line("show ends", "served", "served\t200");
    front.wait_for_admin_line("show ends", "lost", "lost\t0");
    assert!(ran.try_recv().is_err());
}

/// When a worker grabs an idempotent job and stays silent, another worker gets the job after the time-out, and a late result
/// of the first has no effect. A payment fails: see `a_job_fails_at_its_deadline_and_a_late_result_has_no_effect`.
#[rstest]
fn an_idempotent_job_of_a_silent_worker_is_retried() {
    let front = GearmanFront::new();
    let (mut silent, mut client) = (front.worker(&["brief"]), front.connect());
    let handle = client.submit("brief", "", "data");
    let first = silent.take_job();
    let mut other = front.worker(&["brief"]);
    let again = other.take_job();
    assert_eq!((again[2].as_str(), again[0] != first[0]), ("data", true));
    silent.send(WORK_COMPLETE, &[&first[0], "late"]);
    other.send(WORK_COMPLETE, &[&again[0], "in time"]);
    assert_eq!(client.expect(WORK_COMPLETE), [handle.as_str(), "in time"]);
    client.send(ECHO_REQ, &["x"]);
    client.expect(ECHO_RES);
}

/// When a worker is woken and does not grab its job, the job goes to the next worker, even a payment, as it never ran. Once
/// the first worker grabs again, it gets jobs like any other.
#[rstest]
fn a_woken_worker_that_does_not_grab_loses_the_job() {
    let mut front = GearmanFront::new();
    let (mut unresponsive, mut client) = (front.worker(&["bill"]), front.connect());
    client.submit("bill", "", "first");
    unresponsive.expect(NOOP);
    let mut other = front.worker(&["bill"]);
    let job = other.take_job();
    assert_eq!(job[2], "first");
    front.dispatcher.wait_for_log("was woken but did not grab its job");
    client.submit("bill", "", "second");
    unresponsive.send(GRAB_JOB, &[]);
    let second = unresponsive.take_job();
    assert_eq!(second[2], "second");
    for (worker, job) in [(&mut other, &job), (&mut unresponsive, &second)] {
        worker.send(WORK_COMPLETE, &[&job[0], "done"]);
        assert_eq!(client.expect(WORK_COMPLETE)[1], "done");
    }
}

/// When a client disconnects, its job is not run if it is only reserved for a worker. If it runs, its result is dropped and
/// the worker is free for the next job.
#[rstest]
fn a_job_of_a_disconnected_client_is_dropped() {
    let front = GearmanFront::new();
    let (mut worker, mut client) = (front.worker(&["bill"]), front.connect());
    client.submit("bill", "", "reserved");
    worker.expect(NOOP);
    drop(client);
    front.wait_for_admin_line("status", "bill", "bill\t0\t0\t1");
    worker.send(GRAB_JOB, &[]);
    worker.expect(NO_JOB);
    worker.send(PRE_SLEEP, &[]);
    let mut client = front.connect();
    client.submit("bill", "", "running");
    let job = worker.take_job();
    drop(client);
    front.wait_for_admin_line("status", "bill", "bill\t0\t0\t1");
    worker.send(WORK_COMPLETE, &[&job[0], "dropped"]);
    let mut client = front.connect();
    client.submit("bill", "", "next");
    worker.send(GRAB_JOB, &[]);
    let job = worker.take_job();
    assert_eq!(job[2], "next");
    worker.send(WORK_COMPLETE, &[&job[0], "done"]);
    assert_eq!(client.expect(WORK_COMPLETE)[1], "done");
}

/// Clients that join a unique id while its job ends get one final response each, of this run or the next.
#[rstest]
fn a_client_that_joins_an_ending_job_gets_one_answer() {
    let front = GearmanFront::new();
    let _ran = front.start_workers(1, &["view"], Duration::ZERO);
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let mut client = front.connect();
            std::thread::spawn(move || {
                for _ in 0..100 {
                    let handle = client.submit("view", "same", "data");
                    assert_eq!(client.expect(WORK_COMPLETE), [handle.as_str(), "data"]);
                }
            })
        })
        .collect();
    for client in clients {
        client.join().expect("client thread panicked");
    }
    front.wait_for_admin_line("status", "view", "view\t0\t0\t1");
}

/// The outbox of a client that does not read is bounded: its connection is closed, and other clients are served.
#[rstest]
fn a_client_that_does_not_read_is_closed() {
    let mut front = GearmanFront::with(&format!("outbox_kb = 256\n{}", functions()), 0.2);
    let (mut worker, mut client) = (front.worker(&["view"]), front.connect());
    client.submit("view", "", "data");
    let job = worker.take_job();
    let sending = std::thread::spawn(move || {
        let part = "x".repeat(32 * 1024);
        // Up to 128 MiB: more than the socket buffers, and ten times what the dispatcher may buffer.
        for _ in 0..4096 {
            if worker.try_send(WORK_DATA, &[&job[0], &part]).is_err() {
                break;
            }
        }
        worker.send(WORK_COMPLETE, &[&job[0], ""]);
        worker
    });
    front.dispatcher.wait_for_log("closing Gearman connection: its peer does not read");
    front.wait_for_admin_line("status", "view", "view\t0\t0\t1");
    let mut worker = sending.join().expect("worker thread panicked");
    worker.send(GRAB_JOB, &[]);
    let mut other = front.connect();
    other.submit("view", "", "next");
    let job = worker.take_job();
    worker.send(WORK_COMPLETE, &[&job[0], "done"]);
    assert_eq!(other.expect(WORK_COMPLETE)[1], "done");
}

/// While the data of waiting jobs occupies all memory for it, submissions are rejected at once. They are accepted again once
/// memory is free.
#[rstest]
fn memory_for_waiting_jobs_is_bounded() {
    let front = GearmanFront::with(&format!("memory_mb = 1\n{}", functions()), 0.2);
    let mut client = front.connect();
    let large = "x".repeat(700_000);
    client.submit("view", "", &large);
    for kind in [SUBMIT_JOB, SUBMIT_JOB_BG] {
        client.send(kind, &["view", "", &large]);
        assert_eq!(client.expect(ERROR)[0], "QUEUE_FULL");
    }
    let mut worker = front.worker(&["view"]);
    let job = worker.take_job();
    worker.send(WORK_COMPLETE, &[&job[0], ""]);
    client.expect(WORK_COMPLETE);
    client.submit("view", "", &large);
}

/// After SIGTERM running jobs are completed, clients of waiting jobs are notified, lost background jobs are logged, and the
/// process exits.
#[rstest]
fn sigterm_notifies_waiting_clients_and_logs_lost_jobs() {
    let mut front = GearmanFront::new();
    let (mut worker, mut client) = (front.worker(&["bill"]), front.connect());
    let running = client.submit("bill", "", "running");
    let job = worker.take_job();
    let waiting = client.submit("bill", "", "waiting");
    client.send(SUBMIT_JOB_BG, &["bill", "invoice-7", "background"]);
    let background = client.expect(JOB_CREATED).remove(0);
    front.dispatcher.terminate();
    let start = Instant::now();
    assert_eq!(client.expect(WORK_FAIL), [waiting]);
    assert!(start.elapsed() < Duration::from_secs(4));
    client.send(SUBMIT_JOB_BG, &["bill", "", "late"]);
    assert_eq!(client.expect(ERROR)[0], "SHUTTING_DOWN");
    worker.send(WORK_COMPLETE, &[&job[0], "paid"]);
    assert_eq!(client.expect(WORK_COMPLETE), [running.as_str(), "paid"]);
    let log_line = front.dispatcher.wait_for_log("a background job has ended");
    assert!(log_line.contains(&background) && log_line.contains("invoice-7"), "{log_line}");
    drop((client, worker));
    assert!(front.dispatcher.process.wait_for_exit().expect("process did not exit").success());
}

/// A background payment whose worker is lost may have run: it is not run again, and its end is logged and counted.
#[rstest]
fn a_lost_background_job_is_logged_and_counted() {
    let mut front = GearmanFront::new();
    let (mut lost, mut client) = (front.worker(&["bill"]), front.connect());
    client.send(SUBMIT_JOB_BG, &["bill", "invoice-8", "data"]);
    client.expect(JOB_CREATED);
    lost.take_job();
    drop(lost);
    let log_line = front.dispatcher.wait_for_log("a background job has ended: it may have run");
    assert!(log_line.contains("invoice-8"), "{log_line}");
    front.wait_for_admin_line("show ends", "lost", "lost\t1");
    let mut other = front.worker(&["bill"]);
    other.send(GRAB_JOB, &[]);
    other.expect(NO_JOB);
}

/// After SIGHUP a new function accepts jobs at once, and a removed one accepts none. Its queued jobs are still served.
#[rstest]
fn sighup_adds_and_removes_functions() {
    let mut front = GearmanFront::new();
    let mut client = front.connect();
    let old = client.submit("view", "", "old");
    client.send(SUBMIT_JOB, &["more", "", "too early"]);
    assert_eq!(client.expect(ERROR)[0], "UNKNOWN_FUNCTION");
    let new =
        [BASE_CONFIG, &function_entry("bill", "pay", 15.0), &function_entry("more", "look", 15.0)].concat();
    front.dispatcher.reload_gearman(&new.replace("pay", "none"));
    front.dispatcher.wait_for_log("configuration rejected, keeping the current one");
    front.dispatcher.reload_gearman(&new);
    front.dispatcher.wait_for_log("configuration reloaded");
    client.send(SUBMIT_JOB, &["view", "", "too late"]);
    assert_eq!(client.expect(ERROR)[0], "UNKNOWN_FUNCTION");
    let more = client.submit("more", "", "new");
    let mut worker = front.worker(&["view", "more"]);
    for _ in 0..2 {
        let job = worker.take_job();
        worker.send(WORK_COMPLETE, &[&job[0], &job[2]]);
        worker.send(GRAB_JOB, &[]);
    }
    let answers = final_responses(&mut client, 2);
    assert_eq!([answers[&old], answers[&more]], [SERVED_ONCE; 2]);
}

/// A function with hundreds of waiting jobs does not delay another one on the same workers: a job of that one runs after a
/// few of the many.
#[rstest]
fn many_jobs_of_one_function_do_not_delay_another() {
    let front = GearmanFront::new();
    let mut client = front.connect();
    (0..400).for_each(|i| client.send(SUBMIT_JOB_BG, &["view", "", &i.to_string()]));
    (0..400).for_each(|_| _ = client.expect(JOB_CREATED));
    let ran = front.start_workers(2, &["view", "bill"], Duration::from_millis(2));
    for turn in 0..5 {
        client.submit("bill", "", "trickle");
        client.expect(WORK_COMPLETE);
        let before = ran.try_iter().take_while(|job| job.0 == "view").count();
        assert!(turn == 0 || before < 50, "after {before} of the many jobs");
    }
    front.wait_for_admin_line("show ends", "served", "served\t405");
}

/// A thousand jobs that are scheduled for the same second run once each, at the rate of the workers.
#[rstest]
fn a_thousand_scheduled_jobs_of_one_second_run_once_each() {
    let front = GearmanFront::new();
    let ran = front.start_workers(4, &["bill"], Duration::ZERO);
    let mut client = front.connect();
    let due = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock is before 1970").as_secs() + 2;
    for i in 0..1000 {
        client.send(SUBMIT_JOB_EPOCH, &["bill", "", &due.to_string(), &i.to_string()]);
        client.expect(JOB_CREATED);
    }
    let mut jobs = std::collections::BTreeSet::new();
    for _ in 0..1000 {
        assert!(jobs.insert(ran.recv_timeout(WAIT_TIMEOUT).expect("no run").1));
    }
    assert!(SystemTime::now() >= UNIX_EPOCH + Duration::from_secs(due));
    front.wait_for_admin_line("show ends", "served", "served\t1000");
    assert!(ran.try_recv().is_err());
}

/// Of a hundred sleeping workers, all registered for one function and one of them for ten, three jobs wake three.
#[rstest]
fn only_as_many_workers_are_woken_as_there_are_jobs() {
    let names: Vec<String> = (0..10).map(|i| format!("f{i}")).collect();
    let entries: String = names.iter().map(|n| function_entry(n, "look", 15.0)).collect();
    let front = GearmanFront::with(&format!("{BASE_CONFIG}{entries}"), 0.2);
    let mut workers: Vec<GearmanPeer> = (0..99).map(|_| front.worker(&["f0"])).collect();
    workers.push(front.worker(&names.iter().map(String::as_str).collect::<Vec<_>>()));
    let mut client = front.connect();
    (0..3).for_each(|_| _ = client.submit("f0", "", "data"));
    let (start, mut woken) = (Instant::now(), 0);
    while woken < 3 {
        woken = 0;
        for worker in &workers {
            worker.0.set_nonblocking(true).expect("cannot set non-blocking mode");
            woken += worker.0.peek(&mut [0]).is_ok_and(|n| n > 0) as usize;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT);
    }
    // The response to a later request shows that all earlier decisions have been written.
    client.send(ECHO_REQ, &["x"]);
    client.expect(ECHO_RES);
    let woken_after = workers.iter().filter(|w| w.0.peek(&mut [0]).is_ok_and(|n| n > 0)).count();
    assert_eq!((woken, woken_after), (3, 3));
}

fn check_config(operator_file: &str) -> (bool, String) {
    let dir = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    static NEXT_NUMBER: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let unique = NEXT_NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let (config, file) =
        (dir.join(format!("{unique}-check.json")), dir.join(format!("{unique}-operator.toml")));
    let text =
        format!(r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{}}}"#, settings(0.0, 0.2));
    std::fs::write(&config, text).expect("write failed");
    std::fs::write(&file, operator_file).expect("write failed");
    let mut check = Command::new(env!("CARGO_BIN_EXE_roselock"));
    let check = check.arg("check-config").arg("--config").arg(config).arg("--operator").arg(file);
    let done = check.output().expect("cannot run check-config");
    (done.status.success(), String::from_utf8_lossy(&done.stderr).into_owned())
}

/// An error in the operator file is reported with its line, its key and the expected value, and nothing is started.
#[rstest]
#[case("[gearman]\nlisten = \"127.0.0.1:0\"\nmax_job_kb = 0\n", &["line 3: gearman.max_job_kb", "between 1 and"])]
#[case("[gearman]\nlisten = \"127.0.0.1:0\"\ntimezone = \"Nowhere\"\n", &["line 3: gearman.timezone", "UTC"])]
#[case("[gearman]\nlisten = \"127.0.0.1:0\"\n\n[[gearman.function]]\nname = \"f\"\nclass = \"lok\"\ndeadline_s = 1.0\n\
        target = \"gearman\"\n", &["line 6: gearman.class", "unknown class \"lok\"", "one of: look, pay"])]
#[case("[gearman]\nlisten = \"127.0.0.1:0\"\n[gearman.default]\nclass = \"look\"\ndeadline_s = 1.0\ntarget = \"/x\"\n",
       &["line 6: gearman.default.target", "\"gearman\""])]
#[case("[gearman]\nlisten = \"127.0.0.1:0\"\nmax_jbos = 7\n", &["line 3: max_jbos", "unknown field", "max_jobs"])]
#[case("[log]\nlevel = \"loud\"\n", &["line 2: level", "unknown variant", "debug"])]
#[case("[ipfix]\ncollector = \"127.0.0.1:1\"\ntemplate_refresh_s = 0.0\n", &["ipfix.template_refresh_s", "above 0"])]
#[case("[start]\nlist_call_ms = 0.0\n", &["line 2: start.list_call_ms", "0 is out of range", "from 1 to 1000"])]
#[case("[start]\nconnections_per_s = 0.0\n", &["line 2: start.connections_per_s", "0 is out of range", "from 0.1"])]
#[case("[start]\ncall_ms = 20.0\n", &["line 2: call_ms", "unknown field", "list_call_ms"])]
#[case("[nonsense]\n", &["line 1", "unknown field", "gearman"])]
fn a_rejected_operators_file_is_explained(#[case] file: &str, #[case] expected: &[&str]) {
    let (is_accepted, output) = check_config(file);
    assert!(!is_accepted && expected.iter().all(|text| output.contains(text)), "{output}");
    assert!(output.contains("operator.toml"), "{output}");
}

/// A key under its former name is accepted with a warning that shows its current name.
#[rstest]
#[case::key("dial_backoff", &[])]
#[case::former_key("door", &["warning: ", "line 3: start.door", "has been renamed", "start.dial_backoff"])]
fn a_former_key_is_accepted_with_a_warning(#[case] key: &str, #[case] expected: &[&str]) {
    let (is_accepted, output) = check_config(&format!("[start]\ncareful = false\n{key} = true\n"));
    assert!(is_accepted && expected.iter().all(|text| output.contains(text)), "{output}");
    assert_eq!(output.is_empty(), expected.is_empty(), "{output}");
}

/// The shipped operator file is accepted once its example names of classes and tenants are replaced by known ones.
#[rstest]
fn the_shipped_operators_file_is_accepted() {
    let shipped = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/operator.toml"));
    let shipped =
        shipped.expect("cannot read file").replace("account-view", "look").replace("plan-payment", "pay");
    let shipped = shipped.replace("tenant = \"conecta\"\n", "");
    assert_eq!(check_config(&shipped), (true, String::new()));
}
