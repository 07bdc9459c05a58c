//! During an upgrade a worker is restored at one process and suspended at the other one right after.
mod common;
mod settings;

use common::*;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const RATE: f64 = 40.0;
/// The grace of the rule on drains, 0.5 s, and 50 ms for sockets.
const GRACE_S: f64 = 0.55;
/// How long the worker is watched after the call out.
const WATCHED_S: f64 = 6.0;

unsafe extern "C" {
    fn dup2(old: i32, new: i32) -> i32;
}

/// A process that is killed when it is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::open();
    let folder = TempFolder::new();
    // The platform holds the clients' listener.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| not_run(&error.to_string()));
    let listen = listener.local_addr().unwrap().port();
    let sends = Arc::new(Mutex::new(Vec::new()));
    let entries: Vec<Entry> = (0..3).map(|number| start_worker(&record, number, listen, &sends)).collect();
    let known = list_json(1, true, &entries);
    let discovery = Discovery::start(&record, entries);
    let admins = [free_port(), free_port()];

    let old = start(&record, &folder, &listener, listen, discovery.port, admins[0], &known);
    sleep_ms(1000);
    let has_ended = Arc::new(AtomicBool::new(false));
    {
        let (record, has_ended) = (record.clone(), has_ended.clone());
        std::thread::spawn(move || load(&record, listen, &has_ended));
    }
    sleep_ms(1000);
    let new = start(&record, &folder, &listener, listen, discovery.port, admins[1], &known);
    watchdog(&record, vec![old.0.id(), new.0.id()], 110);
    sleep_ms(2500);

    let call = |process: usize, line: &str| {
        let answer = admin(admins[process], line);
        let name = if process == 0 { "old" } else { "new" };
        record.line(&format!("operator: {line} at the {name} process: {answer}"));
        answer
    };
    if !call(0, "SUSPEND s-00000001").starts_with("+OK") {
        not_run("the first call out got no yes");
    }
    sleep_ms(2000);
    if !call(0, "RESTORE s-00000001").starts_with("+OK") {
        not_run("the call back got no yes");
    }
    // An operator's tool takes some milliseconds from one call to the next.
    sleep_ms(if trouble() { 10 } else { 1000 });
    if !call(1, "SUSPEND s-00000001").starts_with("+OK") {
        not_run("the second call out got no yes");
    }
    let yes_at = record.now();
    std::thread::sleep(Duration::from_secs_f64(WATCHED_S));
    has_ended.store(true, Ordering::SeqCst);
    let late: Vec<f64> = sends
        .lock()
        .unwrap()
        .iter()
        .filter(|(at, worker): &&(f64, usize)| *worker == 1 && *at > yes_at + GRACE_S)
        .map(|(at, _)| at - yes_at)
        .collect();
    let others = sends.lock().unwrap().iter().filter(|(at, worker)| *worker != 1 && *at > yes_at + GRACE_S).count();
    record.line(&format!("after the grace, {} requests went to the worker and {others} to the others", late.len()));
    if late.is_empty() {
        record.line("held: the worker got nothing after the yes and the grace");
        return HELD;
    }
    let text = format!(
        "{} requests were sent to the worker that is out by hand, from {:.2} s to {:.2} s after the yes",
        late.len(),
        late[0],
        late[late.len() - 1]
    );
    record.line(&format!("BROKEN: {text}"));
    println!("{text}");
    BROKEN
}

/// Starts a process that inherits the listener as descriptor 3, and waits for its yes.
fn start(
    record: &Record,
    folder: &TempFolder,
    listener: &TcpListener,
    listen: u16,
    discovery: u16,
    admin_port: u16,
    known: &str,
) -> Process {
    let config = format!(
        "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:{listen}\",\"discovery\":\"127.0.0.1:{discovery}\",\
         \"seed\":\"8c1f30d27a5be9{:02x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
         \"known\":{known},\"settings\":{}}}",
        admin_port % 256,
        settings::PORTAL
    );
    let path = folder.write(&format!("{admin_port}.json"), &config);
    let log = std::fs::File::create(folder.0.join(format!("{admin_port}.log"))).unwrap();
    let descriptor = listener.as_raw_fd();
    let mut command = Command::new("/bin/sh");
    command
        .arg("-c")
        .arg(run_command())
        .env("NODE_CONFIG", path)
        .env("NODE_NAME", "n0")
        .env("NODE_FD", "3")
        .env("NODE_ADMIN", format!("127.0.0.1:{admin_port}"))
        .env("TMPDIR", &folder.0)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log);
    // dup2 may be called between fork and exec.
    unsafe {
        command.pre_exec(move || match dup2(descriptor, 3) {
            3 => Ok(()),
            _ => Err(std::io::Error::last_os_error()),
        });
    }
    let child = command.spawn().unwrap_or_else(|error| not_run(&format!("dispatcher: {error}")));
    let process = Process(child);
    let deadline = Instant::now() + Duration::from_secs(30);
    loop {
        let answer = admin(admin_port, "STATUS");
        if answer.starts_with("+OK") {
            record.line(&format!("the process with the admin port {admin_port} says: {answer}"));
            return process;
        }
        if Instant::now() > deadline {
            drop(process);
            not_run("a process is not ready after 30 s");
        }
        sleep_ms(50);
    }
}

fn load(record: &Record, listen: u16, has_ended: &AtomicBool) {
    let mut random = Random(0x9e3779b97f4a7c15);
    while !has_ended.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_secs_f64(-random.between(1e-9, 1.0).ln() / RATE));
        let record = record.clone();
        std::thread::spawn(move || {
            let id = fresh_id();
            let headers =
                format!("X-Call-Id: {id}\r\nX-Call-Class: account-view\r\nX-Caller: conecta\r\nX-Budget: 5\r\n");
            let answer = post(listen, "/api/42", &headers, "hello", Duration::from_secs(6));
            record.line(&format!("client: {id} answered with {}", answer.map_or(0, |(status, _)| status)));
        });
    }
}

fn start_worker(record: &Record, number: usize, dispatcher: u16, sends: &Arc<Mutex<Vec<(f64, usize)>>>) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| not_run(&error.to_string()));
    let port = listener.local_addr().unwrap().port();
    let uid = format!("s-0000000{number}");
    let (record, sends, name) = (record.clone(), sends.clone(), uid.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, sends, uid) = (record.clone(), sends.clone(), name.clone());
            std::thread::spawn(move || serve(&record, stream, number, &uid, dispatcher, &sends));
        }
    });
    Entry {
        uid,
        endpoint: format!("127.0.0.1:{port}"),
        zone: "burgos".to_owned(),
        kind: "node-std".to_owned(),
        state: "ready",
        boot_ms: 0,
    }
}

fn serve(
    record: &Record,
    stream: TcpStream,
    number: usize,
    uid: &str,
    dispatcher: u16,
    sends: &Mutex<Vec<(f64, usize)>>,
) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        if request.method() == "DELETE" {
            let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        let id = request.header("x-call-id").to_owned();
        sends.lock().unwrap().push((record.now(), number));
        record.line(&format!("{uid}: runs {id}"));
        let _ = writer.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
        let uid = uid.to_owned();
        std::thread::spawn(move || {
            call_back(dispatcher, &format!("{{\"id\":\"{id}\",\"from\":\"{uid}\",\"state\":\"started\"}}"));
            sleep_ms(150);
            let done = format!(
                "{{\"id\":\"{id}\",\"from\":\"{uid}\",\"state\":\"done\",\"result\":\"ok\",\"load\":{{\"x0\":8}}}}"
            );
            call_back(dispatcher, &done);
        });
    }
}
