//! An upgrade while a crowd of clients stops half way in a request.
mod common;
mod settings;

use common::*;
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const RATE: f64 = 40.0;
/// The limit on memory, for both processes together, in MiB.
const LIMIT_MB: u64 = 32;
/// The clients of the crowd at a time, and how much of its request each one sends.
const CROWD: usize = 600;
const SENT_BYTES: usize = 60 << 10;

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

/// A figure of a process's status, in KiB.
fn status_kib(process: u32, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

/// The resident memory of the processes together; what they may share, such as the program, counts once.
fn resident_kib(processes: &[u32]) -> u64 {
    let own: u64 = processes.iter().map(|process| status_kib(*process, "RssAnon:")).sum();
    let shared = processes.iter().map(|process| status_kib(*process, "RssFile:") + status_kib(*process, "RssShmem:")).max();
    own + shared.unwrap_or(0)
}

fn run() -> i32 {
    let record = Record::open();
    let folder = TempFolder::new();
    watchdog(&record, 100);
    // The platform holds the clients' listener.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| not_run(&error.to_string()));
    let listen = listener.local_addr().unwrap().port();
    let sends = Arc::new(Mutex::new(Vec::new()));
    let entries: Vec<Entry> = (0..3).map(|number| start_worker(&record, number, listen, &sends)).collect();
    let known = list_json(1, true, &entries);
    let discovery = Discovery::start(&record, entries);
    let admins = [free_port(), free_port()];
    let has_ended = Arc::new(AtomicBool::new(false));
    let old = start(&record, &folder, &listener, listen, discovery.port, admins[0], &known);
    let processes = Arc::new(Mutex::new(vec![old.0.id()]));
    let peak = Arc::new(Mutex::new(0));
    {
        let (record, has_ended, processes, peak) = (record.clone(), has_ended.clone(), processes.clone(), peak.clone());
        std::thread::spawn(move || watch_memory(&record, &has_ended, &processes, &peak));
    }
    sleep_ms(1000);
    let unanswered = Arc::new(AtomicUsize::new(0));
    {
        let (record, has_ended, unanswered) = (record.clone(), has_ended.clone(), unanswered.clone());
        std::thread::spawn(move || load(&record, listen, &has_ended, &unanswered));
    }
    let open = Arc::new(AtomicUsize::new(0));
    {
        let (has_ended, open) = (has_ended.clone(), open.clone());
        std::thread::spawn(move || crowd(listen, &has_ended, &open));
    }
    sleep_ms(5000);
    let mut new = None;
    if trouble() {
        let process = start(&record, &folder, &listener, listen, discovery.port, admins[1], &known);
        processes.lock().unwrap().push(process.0.id());
        new = Some(process);
    }
    sleep_ms(2500);
    if trouble() {
        record.line("platform: SIGTERM to the old process");
        let _ = Command::new("kill").args(["-TERM", &old.0.id().to_string()]).status();
    }
    sleep_ms(3500);
    has_ended.store(true, Ordering::SeqCst);
    let lost = unanswered.load(Ordering::SeqCst);
    drop(new);
    let peak = *peak.lock().unwrap();
    record.line(&format!("peak: {peak} KiB of {} KiB; usual requests without an answer: {lost}", LIMIT_MB * 1024));
    if peak <= LIMIT_MB * 1024 {
        record.line("held: the processes stayed within the limit");
        return HELD;
    }
    let text = format!("the processes were over the limit on memory together: {peak} KiB of {} KiB", LIMIT_MB * 1024);
    record.line(&format!("BROKEN: {text}"));
    println!("{text}");
    BROKEN
}

/// The platform: kills the dispatcher, all its processes, when it is over its limit.
fn watch_memory(record: &Record, has_ended: &AtomicBool, processes: &Mutex<Vec<u32>>, peak: &Mutex<u64>) {
    let mut last = 0;
    while !has_ended.load(Ordering::SeqCst) {
        let ids = processes.lock().unwrap().clone();
        let now = resident_kib(&ids);
        let mut peak = peak.lock().unwrap();
        *peak = now.max(*peak);
        drop(peak);
        if now > last + 1024 {
            last = now;
            record.line(&format!("platform: {now} KiB, {} process(es)", ids.len()));
        }
        if now > LIMIT_MB * 1024 {
            record.line(&format!("platform: {now} KiB, over the limit of {LIMIT_MB} MiB: killed"));
            for id in ids {
                let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
            }
            return;
        }
        sleep_ms(20);
    }
}

/// Clients that send a part of a request and stay; each is followed by another one when the dispatcher has ended it.
fn crowd(listen: u16, has_ended: &Arc<AtomicBool>, open: &Arc<AtomicUsize>) {
    while !has_ended.load(Ordering::SeqCst) {
        if open.load(Ordering::SeqCst) >= CROWD {
            sleep_ms(5);
            continue;
        }
        open.fetch_add(1, Ordering::SeqCst);
        let open = open.clone();
        std::thread::spawn(move || {
            if let Ok(mut stream) = TcpStream::connect(("127.0.0.1", listen)) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
                let head = format!(
                    "POST /api/42 HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: {}\r\nX-Call-Class: account-view\r\n\
                     X-Caller: conecta\r\nX-Budget: 5\r\nContent-Length: 65536\r\n\r\n",
                    fresh_id()
                );
                let _ = stream.write_all(head.as_bytes());
                let _ = stream.write_all(&vec![b'x'; SENT_BYTES]);
                let _ = stream.read(&mut [0; 256]);
            }
            open.fetch_sub(1, Ordering::SeqCst);
        });
        sleep_ms(2);
    }
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
         \"seed\":\"8c1f30d27a5be9{:02x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{LIMIT_MB},\"sockets\":1024}},\
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
    note_started(child.id());
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

fn load(record: &Record, listen: u16, has_ended: &AtomicBool, unanswered: &Arc<AtomicUsize>) {
    let mut random = Random(0x9e3779b97f4a7c15);
    while !has_ended.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_secs_f64(-random.between(1e-9, 1.0).ln() / RATE));
        let (record, unanswered) = (record.clone(), unanswered.clone());
        std::thread::spawn(move || {
            let id = fresh_id();
            let headers =
                format!("X-Call-Id: {id}\r\nX-Call-Class: account-view\r\nX-Caller: conecta\r\nX-Budget: 5\r\n");
            let answer = post(listen, "/api/42", &headers, "hello", Duration::from_secs(6));
            match answer {
                Some((status, _)) => record.line(&format!("client: {id} answered with {status}")),
                None => {
                    unanswered.fetch_add(1, Ordering::SeqCst);
                    record.line(&format!("client: {id} not answered"));
                }
            }
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
