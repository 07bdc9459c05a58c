//! Scripted clients and workers of the Gearman front end.

use super::{WAIT_TIMEOUT, connect};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// One end of a Gearman connection.
pub struct GearmanPeer(pub TcpStream);

impl GearmanPeer {
    pub fn new(to: SocketAddr) -> GearmanPeer {
        GearmanPeer(connect(to))
    }
    pub fn send(&mut self, kind: u32, args: &[&str]) {
        self.try_send(kind, args).expect("write failed");
    }
    pub fn try_send(&mut self, kind: u32, args: &[&str]) -> std::io::Result<()> {
        let data = args.join("\0");
        let mut packet = b"\0REQ".to_vec();
        packet.extend(kind.to_be_bytes());
        packet.extend((data.len() as u32).to_be_bytes());
        packet.extend(data.as_bytes());
        self.0.write_all(&packet)
    }
    pub fn read(&mut self) -> (u32, Vec<String>) {
        self.try_read().expect("no packet")
    }
    /// Reads the next packet; `None` at the end of the stream.
    pub fn try_read(&mut self) -> Option<(u32, Vec<String>)> {
        let mut head = [0; 12];
        self.0.read_exact(&mut head).ok()?;
        assert_eq!(&head[..4], b"\0RES");
        let number = |at: usize| u32::from_be_bytes(head[at..at + 4].try_into().expect("not four bytes"));
        let mut data = vec![0; number(8) as usize];
        self.0.read_exact(&mut data).ok()?;
        let text = String::from_utf8(data).expect("not UTF-8");
        Some((number(4), text.split('\0').map(str::to_owned).collect()))
    }
    /// Reads the next packet, which must be of this kind, and returns its arguments.
    pub fn expect(&mut self, kind: u32) -> Vec<String> {
        let (received, args) = self.read();
        assert_eq!(received, kind, "{args:?}");
        args
    }
    /// Sends an admin command and returns this number of response lines.
    pub fn admin_lines(&mut self, command: &str, lines: usize) -> Vec<String> {
        self.0.write_all(format!("{command}\n").as_bytes()).expect("write failed");
        let reader = BufReader::new(self.0.try_clone().expect("cannot clone stream"));
        reader.lines().take(lines).map(|l| l.expect("no line")).collect()
    }
    /// Sends an admin command and returns the response lines before a single dot.
    pub fn admin_lines_until_dot(&mut self, command: &str) -> Vec<String> {
        self.0.write_all(format!("{command}\n").as_bytes()).expect("write failed");
        let reader = BufReader::new(self.0.try_clone().expect("cannot clone stream"));
        reader.lines().map(|l| l.expect("no line")).take_while(|l| l != ".").collect()
    }
    /// Repeats an admin command until the response line whose first field is `key` is the expected one. The counts are
    /// updated through the event loop's queue, so a worker may have its job before they include it.
    pub fn wait_for_admin_line(&mut self, command: &str, key: &str, expected: &str) {
        let start = std::time::Instant::now();
        loop {
            let answer = self
                .admin_lines_until_dot(command)
                .into_iter()
                .find(|answer| answer.split('\t').next() == Some(key));
            if answer.as_deref() == Some(expected) {
                return;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "{answer:?} is not {expected:?}");
            std::thread::yield_now();
        }
    }
    /// As a worker: registers functions and sends `PRE_SLEEP`.
    pub fn register(&mut self, functions: &[&str]) {
        for function in functions {
            self.send(CAN_DO, &[function]);
        }
        self.send(ECHO_REQ, &["heard"]);
        self.expect(ECHO_RES);
        self.send(PRE_SLEEP, &[]);
    }
    /// As a worker: waits for the next job and returns its handle, function and data; `None` when the connection ends.
    pub fn next_job(&mut self) -> Option<Vec<String>> {
        loop {
            match self.try_read()? {
                (JOB_ASSIGN, job) => return Some(job),
                (NO_JOB, _) => self.send(PRE_SLEEP, &[]),
                _ => self.send(GRAB_JOB, &[]),
            }
        }
    }
    /// As a sleeping worker: waits to be woken and grabs a job.
    pub fn take_job(&mut self) -> Vec<String> {
        self.next_job().expect("no job")
    }
    /// As a client: submits a job and returns its handle.
    pub fn submit(&mut self, function: &str, unique: &str, data: &str) -> String {
        self.send(SUBMIT_JOB, &[function, unique, data]);
        self.expect(JOB_CREATED).remove(0)
    }
}

pub const CAN_DO: u32 = 1;
pub const CANT_DO: u32 = 2;
pub const RESET_ABILITIES: u32 = 3;
pub const PRE_SLEEP: u32 = 4;
pub const NOOP: u32 = 6;
pub const SUBMIT_JOB: u32 = 7;
pub const JOB_CREATED: u32 = 8;
pub const GRAB_JOB: u32 = 9;
pub const NO_JOB: u32 = 10;
pub const JOB_ASSIGN: u32 = 11;
pub const WORK_STATUS: u32 = 12;
pub const WORK_COMPLETE: u32 = 13;
pub const WORK_FAIL: u32 = 14;
pub const GET_STATUS: u32 = 15;
pub const ECHO_REQ: u32 = 16;
pub const ECHO_RES: u32 = 17;
pub const SUBMIT_JOB_BG: u32 = 18;
pub const ERROR: u32 = 19;
pub const STATUS_RES: u32 = 20;
pub const SUBMIT_JOB_HIGH: u32 = 21;
pub const WORK_EXCEPTION: u32 = 25;
pub const OPTION_REQ: u32 = 26;
pub const OPTION_RES: u32 = 27;
pub const WORK_DATA: u32 = 28;
pub const SUBMIT_JOB_EPOCH: u32 = 36;
