//! Clients send several requests with chunked bodies at once on one connection.
mod common;
mod settings;

use common::*;
use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const CLIENTS: usize = 4;
/// The requests that a client sends at once, and the size of each body.
const REQUESTS: usize = 8;
const BODY_BYTES: usize = 20 << 10;
/// The parts of a body.
const CHUNK_BYTES: usize = 4 << 10;

type Ran = Arc<Mutex<HashSet<String>>>;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::open();
    watchdog(&record, 115);
    let folder = TempFolder::new();
    let listen = free_port();
    let ran = Ran::default();
    let entries: Vec<Entry> = (0..3).map(|number| start_worker(&record, number, listen, &ran)).collect();
    let known = list_json(1, true, &entries);
    let discovery = Discovery::start(&record, entries);
    let _dispatcher =
        Dispatcher::start(&record, &folder, "n0", listen, discovery.port, None, settings::PORTAL, &known, "");
    sleep_ms(1000);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            sleep_ms(300);
            std::thread::spawn(move || client(&record, number, listen))
        })
        .collect();
    let lost: Vec<String> = clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect();
    let ran = ran.lock().unwrap();
    record.line(&format!("{} of {} requests ran", ran.len(), CLIENTS * REQUESTS));
    if lost.is_empty() {
        record.line("held: each request was answered");
        return HELD;
    }
    let never_ran = lost.iter().filter(|id| !ran.contains(*id)).count();
    let text = format!(
        "{} requests were read and never answered, {never_ran} of them never sent to a worker: {}",
        lost.len(),
        lost.join(", ")
    );
    record.line(&format!("BROKEN: {text}"));
    println!("{text}");
    BROKEN
}

fn request(id: &str) -> Vec<u8> {
    let mut bytes = format!(
        "POST /api/42 HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: plan-payment\r\nX-Caller: conecta\r\n\
         X-Budget: 8\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    .into_bytes();
    for _ in 0..BODY_BYTES / CHUNK_BYTES {
        bytes.extend_from_slice(format!("{CHUNK_BYTES:x}\r\n").as_bytes());
        bytes.resize(bytes.len() + CHUNK_BYTES, b'x');
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// Sends the requests of one client, at once or one after another. Those without an answer.
fn client(record: &Record, number: usize, listen: u16) -> Vec<String> {
    let ids: Vec<String> = (0..REQUESTS).map(|_| fresh_id()).collect();
    let Ok(stream) = TcpStream::connect(("127.0.0.1", listen)) else { return ids };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let Ok(mut writer) = stream.try_clone() else { return ids };
    let mut reader = BufReader::new(stream);
    let mut answered = 0;
    let mut was_reset = false;
    let mut answer = |reader: &mut BufReader<TcpStream>| match read_message(reader) {
        Ok(Some(message)) => {
            record.line(&format!("client {number}: {} answered with {}", ids[answered], message.status()));
            answered += 1;
            true
        }
        Ok(None) => {
            record.line(&format!("client {number}: the dispatcher has ended the connection, without a reset"));
            false
        }
        Err(error) => {
            was_reset = true;
            record.line(&format!("client {number}: {error}"));
            false
        }
    };
    if trouble() {
        let all: Vec<u8> = ids.iter().flat_map(|id| request(id)).collect();
        let was_written = writer.write_all(&all).is_ok();
        record.line(&format!("client {number}: {REQUESTS} requests sent at once, written whole: {was_written}"));
        for _ in 0..REQUESTS {
            if !answer(&mut reader) {
                break;
            }
        }
    } else {
        for id in &ids {
            let _ = writer.write_all(&request(id));
            record.line(&format!("client {number}: {id} sent"));
            if !answer(&mut reader) {
                break;
            }
        }
    }
    let open = ids[answered..].to_vec();
    if !was_reset {
        // A reset would show that they were not read; there is none for 3 s after the end of the stream.
        sleep_ms(3000);
        was_reset = writer.take_error().is_ok_and(|error| error.is_some());
    }
    if !was_reset || open.is_empty() {
        return open;
    }
    // Requests that were not read are sent once more, each on a connection of its own.
    open.into_iter().filter(|id| !send_again(record, number, listen, id)).collect()
}

fn send_again(record: &Record, number: usize, listen: u16, id: &str) -> bool {
    let Ok(mut stream) = TcpStream::connect(("127.0.0.1", listen)) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let _ = stream.write_all(&request(id));
    let message = read_message(&mut BufReader::new(stream)).ok().flatten();
    record.line(&format!("client {number}: {id} sent once more, {:?}", message.as_ref().map(Message::status)));
    message.is_some()
}

fn start_worker(record: &Record, number: usize, dispatcher: u16, ran: &Ran) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| not_run(&error.to_string()));
    let port = listener.local_addr().unwrap().port();
    let uid = format!("s-0000000{number}");
    let (record, ran, name) = (record.clone(), ran.clone(), uid.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, ran, uid) = (record.clone(), ran.clone(), name.clone());
            std::thread::spawn(move || serve(&record, stream, &uid, dispatcher, &ran));
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

fn serve(record: &Record, stream: TcpStream, uid: &str, dispatcher: u16, ran: &Ran) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        if request.method() == "DELETE" {
            let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        let id = request.header("x-call-id").to_owned();
        record.line(&format!("{uid}: runs {id}"));
        ran.lock().unwrap().insert(id.clone());
        let _ = writer.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
        let uid = uid.to_owned();
        std::thread::spawn(move || {
            call_back(dispatcher, &format!("{{\"id\":\"{id}\",\"from\":\"{uid}\",\"state\":\"started\"}}"));
            sleep_ms(20);
            let done = format!(
                "{{\"id\":\"{id}\",\"from\":\"{uid}\",\"state\":\"done\",\"result\":\"ok\",\"load\":{{\"x0\":8}}}}"
            );
            call_back(dispatcher, &done);
        });
    }
}
