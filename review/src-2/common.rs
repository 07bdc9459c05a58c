//! Shared by the cases of the second review: a record, the dispatcher as a child process, and stand-ins for the
//! discovery service, HTTP workers, HTTP clients and Gearman peers. Only the standard library is used, and every
//! address is a loopback address.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The exit status of a script: the rule held.
pub const HELD: i32 = 0;
/// The rule was broken.
pub const BROKEN: i32 = 1;
/// The case could not run.
pub const NOT_RUN: i32 = 2;

/// Whether the disruption is made; `TROUBLE=0` turns it off.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the record at the path that is the program's first argument.
    pub fn open() -> Record {
        let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
        let file = File::create(&path).unwrap_or_else(|error| not_run(&format!("cannot write {path}: {error}")));
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.4} {text}");
        let _ = file.flush();
    }
    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// The temporary folders.
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());
/// The processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Notes a process that was started, so that it ends with the program.
pub fn note_started(process: u32) {
    STARTED.lock().unwrap().push(process);
}

fn clean_up() {
    for process in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill").arg("-KILL").arg(process.to_string()).stderr(Stdio::null()).status();
    }
    for folder in FOLDERS.lock().unwrap().iter() {
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// Ends the program, and what it started, because the case cannot run.
pub fn not_run(reason: &str) -> ! {
    eprintln!("not run: {reason}");
    clean_up();
    std::process::exit(NOT_RUN);
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A small generator of random numbers (xorshift), so that each run is like the one before.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    /// A number from `low` to `high`.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (self.next() >> 11) as f64 / (1u64 << 53) as f64 * (high - low)
    }
    pub fn chance(&mut self, share: f64) -> bool {
        self.between(0.0, 1.0) < share
    }
}

/// A free port of the loopback address.
pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| not_run(&error.to_string()));
    listener.local_addr().unwrap().port()
}

/// A temporary folder that is removed at the end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new() -> TempFolder {
        let nanos = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_nanos();
        let path = std::env::temp_dir().join(format!("review-2-{}-{nanos}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|error| not_run(&error.to_string()));
        FOLDERS.lock().unwrap().push(path.clone());
        TempFolder(path)
    }
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        let part = self.0.join(format!("{name}.part"));
        std::fs::write(&part, text).unwrap_or_else(|error| not_run(&error.to_string()));
        std::fs::rename(&part, &path).unwrap_or_else(|error| not_run(&error.to_string()));
        path
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The command with which the platform starts the program, from the deploy file.
pub fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml")
        .unwrap_or_else(|error| not_run(&format!("deploy/balancer.toml: {error}")));
    for line in text.lines() {
        if let Some(value) = line.strip_prefix("run = ") {
            return value.trim().trim_matches('"').to_owned();
        }
    }
    not_run("deploy/balancer.toml has no run command")
}

/// A dispatcher that is killed when it is dropped.
pub struct Dispatcher {
    pub child: Child,
    pub listen: u16,
}

impl Dispatcher {
    /// Starts the dispatcher with the command of the deploy file, and waits until it is ready.
    pub fn start(
        record: &Record,
        folder: &TempFolder,
        name: &str,
        listen: u16,
        discovery: u16,
        admin: Option<u16>,
        settings: &str,
        known: &str,
        arguments: &str,
    ) -> Dispatcher {
        let config = format!(
            "{{\"name\":\"{name}\",\"listen\":\"127.0.0.1:{listen}\",\"discovery\":\"127.0.0.1:{discovery}\",\
             \"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
             \"known\":{known},\"settings\":{settings}}}"
        );
        let path = folder.write(&format!("{name}.json"), &config);
        let log = File::create(folder.0.join(format!("{name}.log"))).unwrap();
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(format!("{} {arguments}", run_command()))
            .env("NODE_CONFIG", &path)
            .env("NODE_NAME", name)
            .env("TMPDIR", &folder.0)
            .env_remove("NODE_FD")
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        if let Some(admin) = admin {
            command.env("NODE_ADMIN", format!("127.0.0.1:{admin}"));
        }
        let child = command.spawn().unwrap_or_else(|error| not_run(&format!("dispatcher: {error}")));
        note_started(child.id());
        let mut dispatcher = Dispatcher { child, listen };
        let deadline = Instant::now() + Duration::from_secs(30);
        loop {
            if let Ok(Some(status)) = dispatcher.child.try_wait() {
                let log = std::fs::read_to_string(folder.0.join(format!("{name}.log"))).unwrap_or_default();
                not_run(&format!("the dispatcher ended at its start ({status}):\n{log}"));
            }
            if let Some((200, _)) = get(listen, "/health/ready") {
                record.line(&format!("dispatcher {name} is ready"));
                return dispatcher;
            }
            if Instant::now() > deadline {
                dispatcher.stop();
                not_run("the dispatcher is not ready after 30 s");
            }
            sleep_ms(50);
        }
    }
    pub fn stop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Ends this program, and what it started, if the case takes too long.
pub fn watchdog(record: &Record, seconds: u64) {
    let record = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(seconds));
        record.line("the case took too long");
        not_run("the case took too long");
    });
}

/// A GET request on a new connection: the status and the body.
pub fn get(port: u16, path: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n").ok()?;
    let mut reader = BufReader::new(stream);
    let message = read_message(&mut reader).ok()??;
    Some((message.status(), String::from_utf8_lossy(&message.body).into_owned()))
}

/// An HTTP message.
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a message with a `Content-Length`, or none. `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first_line = line.trim_end().to_owned();
    let mut headers = HashMap::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Message { first_line, headers, body }))
}

/// An entry of the list of workers.
#[derive(Clone)]
pub struct Entry {
    pub uid: String,
    pub endpoint: String,
    pub zone: String,
    pub kind: String,
    pub state: &'static str,
    pub boot_ms: u64,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"{}\",\"pod_group\":1,\
             \"state\":\"{}\",\"capacity_hint\":1.0,\"boot_ms\":{}}}",
            self.uid, self.endpoint, self.zone, self.kind, self.state, self.boot_ms
        )
    }
}

pub fn list_json(revision: u64, all: bool, entries: &[Entry]) -> String {
    let targets: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"rev\":{revision},\"all\":{all},\"targets\":[{}]}}", targets.join(","))
}

/// The discovery service.
#[derive(Clone)]
pub struct Discovery {
    pub port: u16,
    pub state: Arc<Mutex<DiscoveryState>>,
    pub record: Record,
}

pub struct DiscoveryState {
    pub revision: u64,
    pub entries: Vec<Entry>,
}

impl Discovery {
    pub fn start(record: &Record, entries: Vec<Entry>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| not_run(&error.to_string()));
        let port = listener.local_addr().unwrap().port();
        let state = DiscoveryState { revision: 1, entries };
        let discovery = Discovery {
            port,
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
        };
        let service = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = service.clone();
                std::thread::spawn(move || {
                    let _ = service.serve(stream);
                });
            }
        });
        discovery
    }
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            if request.target().contains("watch=1") {
                return self.watch(&mut writer);
            }
            let held = self.state.lock().unwrap();
            let list = list_json(held.revision, true, &held.entries);
            drop(held);
            self.record.line("discovery: whole list written");
            write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())?;
        }
        Ok(())
    }
    fn watch(&self, writer: &mut TcpStream) -> io::Result<()> {
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let chunk = |writer: &mut TcpStream, text: &str| {
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
        };
        let held = self.state.lock().unwrap();
        let list = list_json(held.revision, true, &held.entries);
        drop(held);
        self.record.line("discovery: watch opened, whole list written");
        chunk(writer, &format!("{list}\n"))?;
        let mut last_written = Instant::now();
        loop {
            sleep_ms(10);
            if last_written.elapsed() > Duration::from_millis(1900) {
                chunk(writer, "\n")?;
                last_written = Instant::now();
            }
        }
    }
}

/// Tells the dispatcher what becomes of a job, as a worker does: repeated until it is answered, ten times at most.
pub fn call_back(dispatcher: u16, body: &str) -> bool {
    for _ in 0..10 {
        if post(dispatcher, "/v1/job-events", "", body, Duration::from_secs(2)).is_some_and(|(status, _)| {
            status == 200 || status == 204
        }) {
            return true;
        }
        sleep_ms(100);
    }
    false
}

/// A POST on a new connection: the status and the body of the answer.
pub fn post(port: u16, path: &str, headers: &str, body: &str, wait: Duration) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: app.svc\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let message = read_message(&mut reader).ok()??;
    Some((message.status(), String::from_utf8_lossy(&message.body).into_owned()))
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A fresh id of a request.
pub fn fresh_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// One line to the admin address: the first line of the answer.
pub fn admin(port: u16, line: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(("127.0.0.1", port)) else { return String::new() };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let _ = stream.write_all(format!("{line}\n").as_bytes());
    let mut answer = String::new();
    let _ = BufReader::new(stream).read_line(&mut answer);
    answer.trim_end().to_owned()
}

/// Packet types of the Gearman protocol.
pub mod gearman {
    pub const CAN_DO: u32 = 1;
    pub const PRE_SLEEP: u32 = 4;
    pub const NOOP: u32 = 6;
    pub const SUBMIT_JOB: u32 = 7;
    pub const JOB_CREATED: u32 = 8;
    pub const GRAB_JOB: u32 = 9;
    pub const NO_JOB: u32 = 10;
    pub const JOB_ASSIGN: u32 = 11;
    pub const WORK_COMPLETE: u32 = 13;
    pub const WORK_FAIL: u32 = 14;
    pub const ERROR: u32 = 19;
    pub const WORK_DATA: u32 = 28;
    pub const GRAB_JOB_UNIQ: u32 = 30;
    pub const JOB_ASSIGN_UNIQ: u32 = 31;
}

/// A connection to a Gearman server, of a client or a worker.
pub struct GearmanPeer {
    pub stream: TcpStream,
}

impl GearmanPeer {
    pub fn connect(port: u16) -> io::Result<GearmanPeer> {
        let stream = TcpStream::connect(("127.0.0.1", port))?;
        stream.set_nodelay(true)?;
        Ok(GearmanPeer { stream })
    }
    pub fn send(&mut self, kind: u32, arguments: &[&str]) -> io::Result<()> {
        let data = arguments.join("\0");
        let mut packet = b"\0REQ".to_vec();
        packet.extend_from_slice(&kind.to_be_bytes());
        packet.extend_from_slice(&(data.len() as u32).to_be_bytes());
        packet.extend_from_slice(data.as_bytes());
        self.stream.write_all(&packet)
    }
    /// The type and the arguments of the next packet.
    pub fn receive(&mut self) -> io::Result<(u32, Vec<String>)> {
        let mut head = [0; 12];
        self.stream.read_exact(&mut head)?;
        let word = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let mut data = vec![0; word(8) as usize];
        self.stream.read_exact(&mut data)?;
        let text = String::from_utf8_lossy(&data).into_owned();
        Ok((word(4), text.split('\0').map(str::to_owned).collect()))
    }
    /// As a worker: sleeps until a job is assigned. The arguments of `JOB_ASSIGN_UNIQ`: handle, function, unique id, data.
    pub fn next_job(&mut self) -> io::Result<Vec<String>> {
        self.send(gearman::GRAB_JOB_UNIQ, &[])?;
        loop {
            let (kind, arguments) = self.receive()?;
            match kind {
                gearman::JOB_ASSIGN_UNIQ => return Ok(arguments),
                gearman::NO_JOB => self.send(gearman::PRE_SLEEP, &[])?,
                gearman::NOOP => self.send(gearman::GRAB_JOB_UNIQ, &[])?,
                _ => {}
            }
        }
    }
}
