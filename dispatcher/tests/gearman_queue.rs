//! Stories of the Gearman front as a queue: what waits, what comes back, what ends, and what is told of it.

mod common;
use common::gearman::*;
use common::*;
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const BASE: &str = "cold_s = 0.0\ngrab_s = 0.3\nadmins = [\"127.0.0.1\"]\n";

fn entry(name: &str, class: &str, deadline_s: f64) -> String {
    format!(
        "[[function]]\nname = \"{name}\"\nclass = \"{class}\"\ndeadline_s = {deadline_s:.1}\ntarget = \"gearman\"\n"
    )
}

/// Functions `view` (safe), `bill` (a payment) and `brief` (safe, a second a try).
fn functions() -> String {
    [BASE, &entry("view", "look", 15.0), &entry("bill", "pay", 15.0), &entry("brief", "look", 1.0)].concat()
}

struct World {
    _discovery: Discovery,
    dispatcher: Dispatcher,
    at: SocketAddr,
}

impl World {
    fn with(functions: &str, promise_s: f64) -> World {
        let discovery = Discovery::start();
        let none = list(1, true, &[]);
        let dispatcher = Dispatcher::start(discovery.at, &settings(0.0, promise_s), &none, Some(functions));
        let at = dispatcher.gearman.expect("the front is on");
        World { _discovery: discovery, dispatcher, at }
    }
    fn new() -> World {
        World::with(&functions(), 0.2)
    }
    fn peer(&self) -> Gear {
        Gear::new(self.at)
    }
    fn worker(&self, functions: &[&str]) -> Gear {
        let mut worker = self.peer();
        worker.register(functions);
        worker
    }
    /// Workers that serve until the connection ends; what they ran, as it came.
    fn serve(&self, workers: usize, functions: &[&str], each: Duration) -> Receiver<(String, String)> {
        let (ran, log) = channel();
        for _ in 0..workers {
            let (mut worker, ran) = (self.worker(functions), ran.clone());
            std::thread::spawn(move || {
                while let Some(job) = worker.next_job() {
                    let _ = ran.send((job[1].clone(), job[2].clone()));
                    std::thread::sleep(each);
                    let _ = worker.try_send(WORK_COMPLETE, &[&job[0], &job[2]]);
                    let _ = worker.try_send(GRAB_JOB, &[]);
                }
            });
        }
        log
    }
    fn until(&self, line: &str, of: &str, wanted: &str) {
        self.peer().until(line, of, wanted);
    }
}

/// Reads last words until so many have come: how often each handle was served, and failed.
fn last_words(client: &mut Gear, n: usize) -> BTreeMap<String, (usize, usize)> {
    let mut words: BTreeMap<String, (usize, usize)> = BTreeMap::new();
    let mut seen = 0;
    while seen < n {
        let (kind, args) = client.read();
        let word = words.entry(args[0].clone()).or_default();
        match kind {
            WORK_COMPLETE => word.0 += 1,
            WORK_FAIL => word.1 += 1,
            _ => continue,
        }
        seen += 1;
    }
    words
}

/// A burst waits for workers: of 200 jobs 185 used to be refused as late, and in the background 186 were lost without
/// a word. Each is served, once.
#[rstest]
#[case::foreground(SUBMIT_JOB)]
#[case::background(SUBMIT_JOB_BG)]
fn a_burst_is_served_whole(#[case] kind: u32) {
    let world = World::new();
    let ran = world.serve(2, &["bill"], Duration::ZERO);
    let mut client = world.peer();
    (0..200).for_each(|i| client.send(kind, &["bill", "", &i.to_string()]));
    if kind == SUBMIT_JOB {
        let words = last_words(&mut client, 200);
        assert_eq!(words.values().filter(|w| **w == (1, 0)).count(), 200);
    }
    let mut jobs: Vec<String> = (0..200).map(|_| ran.recv_timeout(PATIENCE).expect("a run").1).collect();
    jobs.sort_by_key(|j| j.parse::<u32>().expect("a number"));
    assert_eq!(jobs, (0..200).map(|i| i.to_string()).collect::<Vec<_>>());
    world.until("show ends", "served", "served\t200");
    world.until("show ends", "lost", "lost\t0");
    assert!(ran.try_recv().is_err());
}

/// A worker takes a safe job and goes silent: when its time is up another has it, and the first one's late result is
/// nobody's. (A payment fails, once: see `a_silent_worker_ends_at_the_deadline`.)
#[rstest]
fn a_silent_workers_safe_job_goes_to_another() {
    let world = World::new();
    let (mut silent, mut client) = (world.worker(&["brief"]), world.peer());
    let handle = client.submit("brief", "", "data");
    let first = silent.take();
    let mut other = world.worker(&["brief"]);
    let again = other.take();
    assert_eq!((again[2].as_str(), again[0] != first[0]), ("data", true));
    silent.send(WORK_COMPLETE, &[&first[0], "late"]);
    other.send(WORK_COMPLETE, &[&again[0], "in time"]);
    assert_eq!(client.expect(WORK_COMPLETE), [handle.as_str(), "in time"]);
    client.send(ECHO_REQ, &["x"]);
    client.expect(ECHO_RES);
}

/// A worker that is woken and does not come: even a payment goes to the next one, as it never ran. Once it asks, it
/// is a worker like any other.
#[rstest]
fn a_worker_that_does_not_come_loses_the_job() {
    let mut world = World::new();
    let (mut deaf, mut client) = (world.worker(&["bill"]), world.peer());
    client.submit("bill", "", "first");
    deaf.expect(NOOP);
    let mut other = world.worker(&["bill"]);
    let job = other.take();
    assert_eq!(job[2], "first");
    world.dispatcher.logs("was woken and did not come");
    client.submit("bill", "", "second");
    deaf.send(GRAB_JOB, &[]);
    let second = deaf.take();
    assert_eq!(second[2], "second");
    for (worker, job) in [(&mut other, &job), (&mut deaf, &second)] {
        worker.send(WORK_COMPLETE, &[&job[0], "done"]);
        assert_eq!(client.expect(WORK_COMPLETE)[1], "done");
    }
}

/// A client leaves while its job is chosen for a worker, or runs: the first is not run, the second is nobody's, and
/// the worker is free for the next.
#[rstest]
fn a_client_leaves() {
    let world = World::new();
    let (mut worker, mut client) = (world.worker(&["bill"]), world.peer());
    client.submit("bill", "", "chosen");
    worker.expect(NOOP);
    drop(client);
    world.until("status", "bill", "bill\t0\t0\t1");
    worker.send(GRAB_JOB, &[]);
    worker.expect(NO_JOB);
    worker.send(PRE_SLEEP, &[]);
    let mut client = world.peer();
    client.submit("bill", "", "running");
    let job = worker.take();
    drop(client);
    world.until("status", "bill", "bill\t0\t0\t1");
    worker.send(WORK_COMPLETE, &[&job[0], "nobody's"]);
    let mut client = world.peer();
    client.submit("bill", "", "next");
    worker.send(GRAB_JOB, &[]);
    let job = worker.take();
    assert_eq!(job[2], "next");
    worker.send(WORK_COMPLETE, &[&job[0], "done"]);
    assert_eq!(client.expect(WORK_COMPLETE)[1], "done");
}

/// Clients that join a unique id while its job is ending: each submission has one last word, whichever run it met.
#[rstest]
fn joining_at_the_end() {
    let world = World::new();
    let _ran = world.serve(1, &["view"], Duration::ZERO);
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let mut client = world.peer();
            std::thread::spawn(move || {
                for _ in 0..100 {
                    let handle = client.submit("view", "same", "data");
                    assert_eq!(client.expect(WORK_COMPLETE), [handle.as_str(), "data"]);
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|c| c.join().expect("each has its word"));
    world.until("status", "view", "view\t0\t0\t1");
}

/// A client that does not read what it asked for: its outbox is bounded, so it is closed, and others are served.
#[rstest]
fn a_client_that_does_not_read_is_closed() {
    let mut world = World::with(&format!("outbox_kb = 256\n{}", functions()), 0.2);
    let (mut worker, mut client) = (world.worker(&["view"]), world.peer());
    client.submit("view", "", "data");
    let job = worker.take();
    let sending = std::thread::spawn(move || {
        let part = "x".repeat(32 * 1024);
        // Up to 128 MiB: more than the system's buffers, and ten times what the dispatcher may hold.
        for _ in 0..4096 {
            if worker.try_send(WORK_DATA, &[&job[0], &part]).is_err() {
                break;
            }
        }
        worker.send(WORK_COMPLETE, &[&job[0], ""]);
        worker
    });
    world.dispatcher.logs("a connection that does not read is closed");
    world.until("status", "view", "view\t0\t0\t1");
    let mut worker = sending.join().expect("the worker sends");
    worker.send(GRAB_JOB, &[]);
    let mut other = world.peer();
    other.submit("view", "", "next");
    let job = worker.take();
    worker.send(WORK_COMPLETE, &[&job[0], "done"]);
    assert_eq!(other.expect(WORK_COMPLETE)[1], "done");
}

/// The data of waiting jobs takes all memory for it: told at once, harmless to try again, and room is room again.
#[rstest]
fn memory_for_waiting_jobs_is_bounded() {
    let world = World::with(&format!("memory_mb = 1\n{}", functions()), 0.2);
    let mut client = world.peer();
    let large = "x".repeat(700_000);
    client.submit("view", "", &large);
    for kind in [SUBMIT_JOB, SUBMIT_JOB_BG] {
        client.send(kind, &["view", "", &large]);
        assert_eq!(client.expect(ERROR)[0], "QUEUE_FULL");
    }
    let mut worker = world.worker(&["view"]);
    let job = worker.take();
    worker.send(WORK_COMPLETE, &[&job[0], ""]);
    client.expect(WORK_COMPLETE);
    client.submit("view", "", &large);
}

/// SIGTERM: what runs is finished, who waits is told, background jobs that are lost are named, and the process ends.
#[rstest]
fn sigterm_tells_who_waits() {
    let mut world = World::new();
    let (mut worker, mut client) = (world.worker(&["bill"]), world.peer());
    let running = client.submit("bill", "", "running");
    let job = worker.take();
    let waiting = client.submit("bill", "", "waiting");
    client.send(SUBMIT_JOB_BG, &["bill", "invoice-7", "background"]);
    let background = client.expect(JOB_CREATED).remove(0);
    world.dispatcher.terminate();
    let start = Instant::now();
    assert_eq!(client.expect(WORK_FAIL), [waiting]);
    assert!(start.elapsed() < Duration::from_secs(4));
    client.send(SUBMIT_JOB_BG, &["bill", "", "late"]);
    assert_eq!(client.expect(ERROR)[0], "SHUTTING_DOWN");
    worker.send(WORK_COMPLETE, &[&job[0], "paid"]);
    assert_eq!(client.expect(WORK_COMPLETE), [running.as_str(), "paid"]);
    let named = world.dispatcher.logs("a background job has ended");
    assert!(named.contains(&background) && named.contains("invoice-7"), "{named}");
    drop((client, worker));
    assert!(world.dispatcher.process.end().expect("its end").success());
}

/// A background payment whose worker is lost may have run: it is not run again, and its end is named and counted.
#[rstest]
fn a_lost_background_payment_is_named() {
    let mut world = World::new();
    let (mut lost, mut client) = (world.worker(&["bill"]), world.peer());
    client.send(SUBMIT_JOB_BG, &["bill", "invoice-8", "data"]);
    client.expect(JOB_CREATED);
    lost.take();
    drop(lost);
    let named = world.dispatcher.logs("a background job has ended: it may have run");
    assert!(named.contains("invoice-8"), "{named}");
    world.until("show ends", "lost", "lost\t1");
    let mut other = world.worker(&["bill"]);
    other.send(GRAB_JOB, &[]);
    other.expect(NO_JOB);
}

/// SIGHUP: a new function is taken at once, one that is gone takes no more jobs, and those that it has are served.
#[rstest]
fn sighup_adds_and_removes_functions() {
    let mut world = World::new();
    let mut client = world.peer();
    let old = client.submit("view", "", "old");
    client.send(SUBMIT_JOB, &["more", "", "too early"]);
    assert_eq!(client.expect(ERROR)[0], "UNKNOWN_FUNCTION");
    let new = [BASE, &entry("bill", "pay", 15.0), &entry("more", "look", 15.0)].concat();
    world.dispatcher.reload_gearman(&new.replace("pay", "none"));
    world.dispatcher.logs("configuration rejected, keeping the current one");
    world.dispatcher.reload_gearman(&new);
    world.dispatcher.logs("configuration reloaded");
    client.send(SUBMIT_JOB, &["view", "", "too late"]);
    assert_eq!(client.expect(ERROR)[0], "UNKNOWN_FUNCTION");
    let more = client.submit("more", "", "new");
    let mut worker = world.worker(&["view", "more"]);
    for _ in 0..2 {
        let job = worker.take();
        worker.send(WORK_COMPLETE, &[&job[0], &job[2]]);
        worker.send(GRAB_JOB, &[]);
    }
    let words = last_words(&mut client, 2);
    assert_eq!([words[&old], words[&more]], [(1, 0); 2]);
}

/// A trickle is not held up by a flood at workers that take both: it has its turn after a few of the flood's jobs,
/// where hundreds are waiting.
#[rstest]
fn a_flood_does_not_drown_a_trickle() {
    let world = World::new();
    let mut client = world.peer();
    (0..400).for_each(|i| client.send(SUBMIT_JOB_BG, &["view", "", &i.to_string()]));
    (0..400).for_each(|_| _ = client.expect(JOB_CREATED));
    let ran = world.serve(2, &["view", "bill"], Duration::from_millis(2));
    for turn in 0..5 {
        client.submit("bill", "", "trickle");
        client.expect(WORK_COMPLETE);
        let before = ran.try_iter().take_while(|job| job.0 == "view").count();
        assert!(turn == 0 || before < 50, "after {before} of the flood");
    }
    world.until("show ends", "served", "served\t405");
}

/// A thousand jobs fall due in the same second: each runs, once, at the pace of the workers.
#[rstest]
fn a_thousand_fall_due_at_once() {
    let world = World::new();
    let ran = world.serve(4, &["bill"], Duration::ZERO);
    let mut client = world.peer();
    let due = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_secs() + 2;
    for i in 0..1000 {
        client.send(SUBMIT_JOB_EPOCH, &["bill", "", &due.to_string(), &i.to_string()]);
        client.expect(JOB_CREATED);
    }
    let mut jobs = std::collections::BTreeSet::new();
    for _ in 0..1000 {
        assert!(jobs.insert(ran.recv_timeout(PATIENCE).expect("a run").1));
    }
    assert!(SystemTime::now() >= UNIX_EPOCH + Duration::from_secs(due));
    world.until("show ends", "served", "served\t1000");
    assert!(ran.try_recv().is_err());
}

/// A hundred workers sleep on one function, one of them on ten: three jobs wake three, not all.
#[rstest]
fn as_many_are_woken_as_can_get_a_job() {
    let names: Vec<String> = (0..10).map(|i| format!("f{i}")).collect();
    let entries: String = names.iter().map(|n| entry(n, "look", 15.0)).collect();
    let world = World::with(&format!("{BASE}{entries}"), 0.2);
    let mut workers: Vec<Gear> = (0..99).map(|_| world.worker(&["f0"])).collect();
    workers.push(world.worker(&names.iter().map(String::as_str).collect::<Vec<_>>()));
    let mut client = world.peer();
    (0..3).for_each(|_| _ = client.submit("f0", "", "data"));
    let (start, mut woken) = (Instant::now(), 0);
    while woken < 3 {
        woken = 0;
        for worker in &workers {
            worker.0.set_nonblocking(true).expect("set");
            woken += worker.0.peek(&mut [0]).is_ok_and(|n| n > 0) as usize;
        }
        assert!(start.elapsed() < PATIENCE);
    }
    // All that was decided has been written: an answer that was asked for later is here.
    client.send(ECHO_REQ, &["x"]);
    client.expect(ECHO_RES);
    let now = workers.iter().filter(|w| w.0.peek(&mut [0]).is_ok_and(|n| n > 0)).count();
    assert_eq!((woken, now), (3, 3));
}

fn checked(operator: &str) -> (bool, String) {
    let dir = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    static STARTED: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let unique = STARTED.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let (config, file) =
        (dir.join(format!("{unique}-check.json")), dir.join(format!("{unique}-operator.toml")));
    let text =
        format!(r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{}}}"#, settings(0.0, 0.2));
    std::fs::write(&config, text).expect("written");
    std::fs::write(&file, operator).expect("written");
    let mut check = Command::new(env!("CARGO_BIN_EXE_roselock"));
    let check = check.arg("check-config").arg("--config").arg(config).arg("--operator").arg(file);
    let done = check.output().expect("it runs");
    (done.status.success(), String::from_utf8_lossy(&done.stderr).into_owned())
}

/// What is wrong with the operators' file is told by line, key and cure, and nothing is started.
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
#[case("[start]\nlist_call_ms = 0.0\n", &["line 2: start.list_call_ms", "0 makes no sense", "from 1 to 1000"])]
#[case("[start]\nconnections_per_s = 0.0\n", &["line 2: start.connections_per_s", "0 makes no sense", "from 0.1"])]
#[case("[start]\ncall_ms = 20.0\n", &["line 2: call_ms", "unknown field", "list_call_ms"])]
#[case("[nonsense]\n", &["line 1", "unknown field", "gearman"])]
fn a_bad_operators_file_is_explained(#[case] file: &str, #[case] words: &[&str]) {
    let (fine, said) = checked(file);
    assert!(!fine && words.iter().all(|w| said.contains(w)), "{said}");
    assert!(said.contains("operator.toml"), "{said}");
}

/// A key under its former name is accepted, and its present name is told.
#[rstest]
#[case::key("dial_backoff", &[])]
#[case::former_key("door", &["warning: ", "line 3: start.door", "another name", "start.dial_backoff"])]
fn a_former_key_is_accepted_with_a_warning(#[case] key: &str, #[case] words: &[&str]) {
    let (fine, said) = checked(&format!("[start]\ncareful = false\n{key} = true\n"));
    assert!(fine && words.iter().all(|w| said.contains(w)), "{said}");
    assert_eq!(said.is_empty(), words.is_empty(), "{said}");
}

/// The file that is shipped is fine but for the names of the site's classes, which it shows.
#[rstest]
fn the_shipped_file_is_fine() {
    let shipped = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/operator.toml"));
    let shipped = shipped.expect("the file").replace("account-view", "look").replace("plan-payment", "pay");
    let shipped = shipped.replace("tenant = \"conecta\"\n", "");
    assert_eq!(checked(&shipped), (true, String::new()));
}
