//! A minimal environment to try the dispatcher in: a discovery service on 127.0.0.1:8500 and three upstream hosts that accept
//! any job, run it for 100 to 200 ms, and report its start and its result to the dispatcher on 127.0.0.1:7070 by callbacks.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::Duration;

const DISPATCHER: &str = "127.0.0.1:7070";
const DISCOVERY: &str = "127.0.0.1:8500";
const HOSTS: [&str; 3] = ["127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"];

/// Reads the next request; returns its request line, its call id and its body.
fn read_request(stream: &mut BufReader<TcpStream>) -> Option<(String, String, Vec<u8>)> {
    let (mut request_line, mut id, mut length) = (String::new(), String::new(), 0);
    if stream.read_line(&mut request_line).ok()? == 0 {
        return None;
    }
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).ok()?;
        match line.trim().split_once(": ") {
            Some((name, value)) if name.eq_ignore_ascii_case("x-call-id") => id = value.to_owned(),
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                length = value.parse().ok()?
            }
            Some(_) => {}
            None => break,
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((request_line, id, body))
}

/// Posts an event of a job to the dispatcher; `fields` are its further JSON members.
fn post_job_event(id: &str, host: &str, fields: &str) -> std::io::Result<()> {
    let body = format!(r#"{{"id":"{id}","from":"{host}",{fields}}}"#);
    let mut stream = TcpStream::connect(DISPATCHER)?;
    let length = body.len();
    write!(
        stream,
        "POST /v1/job-events HTTP/1.1\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    )?;
    stream.read(&mut [0; 256]).map(|_| ())
}

fn serve_host(number: usize) -> std::io::Result<()> {
    for stream in TcpListener::bind(HOSTS[number])?.incoming() {
        let mut connection = BufReader::new(stream?);
        spawn(move || {
            while let Some((request_line, id, body)) = read_request(&mut connection) {
                println!("host {number}: {} ({} bytes)", request_line.trim(), body.len());
                let _ = connection.get_mut().write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
                if request_line.starts_with("POST") {
                    spawn(move || {
                        let uid = format!("toy-{number}");
                        let _ = post_job_event(&id, &uid, r#""state":"started""#);
                        sleep(Duration::from_millis(100 + 50 * number as u64));
                        let done =
                            format!(r#""state":"done","result":"host {number} did it","load":{{"x0":2}}"#);
                        let _ = post_job_event(&id, &uid, &done);
                    });
                }
            }
        });
    }
    Ok(())
}

fn main() -> std::io::Result<()> {
    for number in 0..HOSTS.len() {
        spawn(move || serve_host(number).expect("the port is free"));
    }
    let endpoint = |(i, address): (usize, &&str)| {
        let properties = r#""az":"home","model":"toy","state":"ready","capacity_hint":1,"boot_ms":0"#;
        format!(r#"{{"uid":"toy-{i}","endpoint":"{address}",{properties}}}"#)
    };
    let targets: Vec<String> = HOSTS.iter().enumerate().map(endpoint).collect();
    let list = format!("{{\"rev\":1,\"all\":true,\"targets\":[{}]}}\n", targets.join(","));
    println!("discovery on {DISCOVERY}, hosts on {HOSTS:?}, callbacks to {DISPATCHER}");
    for stream in TcpListener::bind(DISCOVERY)?.incoming() {
        let (mut watch, list) = (BufReader::new(stream?), list.clone());
        spawn(move || -> std::io::Result<()> {
            read_request(&mut watch);
            let stream = watch.get_mut();
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            write!(stream, "{:x}\r\n{list}\r\n", list.len())?;
            // An empty line every 2 s keeps the watch alive.
            loop {
                sleep(Duration::from_secs(2));
                stream.write_all(b"1\r\n\n\r\n")?;
            }
        });
    }
    Ok(())
}
