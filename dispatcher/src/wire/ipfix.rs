//! Export of finished streams as IPFIX flow records (RFC 7011, RFC 7012) over UDP.
//!
//! A bounded queue stands between the decisions and the exporter: what does not fit is dropped and counted, and
//! the count is exported with the templates.

use crate::core::{Flow, FlowSink, StreamOutcome, clock};
use crate::lifecycle::settings_error::ConfigError;
use may::net::UdpSocket;
use may::sync::mpsc::{Receiver, Sender, channel};
use roselock::settings::Site;
use roselock::{Micros, SECOND};
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::RecvTimeoutError;

/// Most records that wait to be exported.
const QUEUE: usize = 1024;
/// Most bytes of a message: what an unfragmented datagram carries.
const MESSAGE: usize = 1400;
/// Longest that a record waits for others.
const GATHER: Micros = SECOND / 2;

/// The file that turns the export on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Where the records go.
    pub collector: SocketAddr,
    /// Whose they are.
    #[serde(default)]
    pub observation_domain: u32,
    /// How often the templates are sent again, in seconds.
    #[serde(default = "a_minute")]
    pub template_refresh_s: f64,
}

fn a_minute() -> f64 {
    60.0
}

/// An information element with its length in a record. A name has a fixed one, filled up with zeros: collectors
/// differ in how well they take variable lengths.
type Element = (u16, u16);

/// flowStart and flowEndMilliseconds, flowId, initiator- and responderOctets, protocolIdentifier,
/// flowEndReason, httpStatusCode, source- and destinationTransportPort, applicationName.
const COMMON: [Element; 11] = [
    (152, 8),
    (153, 8),
    (148, 8),
    (231, 8),
    (232, 8),
    (4, 1),
    (136, 1),
    (457, 2),
    (7, 2),
    (11, 2),
    (96, NAME as u16),
];
/// source- and destination addresses.
const IPV4: [Element; 2] = [(8, 4), (12, 4)];
const IPV6: [Element; 2] = [(27, 16), (28, 16)];
/// Of the exporter: exportingProcessId (the scope), exportedFlowRecordTotalCount, notSentFlowTotalCount.
const RELIABILITY: [Element; 3] = [(144, 4), (42, 8), (165, 8)];
const FLOWS_V4: u16 = 256;
const FLOWS_V6: u16 = 257;
const COUNTS: u16 = 258;
/// Bytes of a class's name.
const NAME: usize = 32;

/// The queue's near end.
struct Queue {
    records: Sender<Flow>,
    counts: Arc<Counts>,
}

#[derive(Default)]
struct Counts {
    waiting: AtomicUsize,
    dropped: AtomicU64,
}

impl FlowSink for Queue {
    fn finished(&self, flow: Flow) {
        if self.counts.waiting.fetch_add(1, Ordering::SeqCst) >= QUEUE || self.records.send(flow).is_err() {
            self.counts.waiting.fetch_sub(1, Ordering::SeqCst);
            self.counts.dropped.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Checks the file.
pub fn check(file: &File) -> Result<(), ConfigError> {
    if !file.template_refresh_s.is_finite() || file.template_refresh_s <= 0.0 {
        return Err(ConfigError::new(None, "template_refresh_s", "is no span of time", "above 0"));
    }
    Ok(())
}

/// Starts the exporter.
///
/// # Errors
/// Its socket cannot be opened.
pub fn start(file: &File, site: &Site) -> std::io::Result<Box<dyn FlowSink>> {
    let any = if file.collector.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(any)?;
    let (records, queue) = channel();
    let counts = Arc::new(Counts::default());
    let exporter = Exporter {
        socket,
        collector: file.collector,
        refresh: (file.template_refresh_s * SECOND as f64) as Micros,
        counts: counts.clone(),
        classes: site.classes.names().to_vec(),
        out: Message { domain: file.observation_domain, ..Message::default() },
        exported: 0,
        refreshed: None,
    };
    may::go!(move || exporter.run(&queue));
    Ok(Box::new(Queue { records, counts }))
}

struct Exporter {
    socket: UdpSocket,
    collector: SocketAddr,
    refresh: Micros,
    counts: Arc<Counts>,
    classes: Vec<String>,
    out: Message,
    exported: u64,
    refreshed: Option<Micros>,
}

impl Exporter {
    fn run(mut self, queue: &Receiver<Flow>) {
        let mut flush_at: Option<Micros> = None;
        loop {
            let now = clock::now();
            if self.refreshed.is_none_or(|at| now - at >= self.refresh) {
                self.refreshed = Some(now);
                self.templates();
            }
            if flush_at.is_some_and(|at| at <= now) {
                flush_at = None;
                self.flush();
            }
            let refresh_at = self.refreshed.unwrap_or(now) + self.refresh;
            let wake = flush_at.map_or(refresh_at, |at| at.min(refresh_at));
            match queue.recv_timeout(clock::left(wake)) {
                Ok(flow) => {
                    self.counts.waiting.fetch_sub(1, Ordering::SeqCst);
                    self.record(&flow);
                    flush_at = flush_at.or(Some(clock::now() + GATHER));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return self.flush(),
            }
        }
    }

    /// The templates, and what became of the records so far.
    fn templates(&mut self) {
        self.flush();
        for (id, addresses) in [(FLOWS_V4, IPV4), (FLOWS_V6, IPV6)] {
            let fields: Vec<Element> = addresses.into_iter().chain(COMMON).collect();
            let head = [id, fields.len() as u16];
            self.out.set(2, false, |set| describe(set, &head, &fields));
        }
        self.out.set(3, false, |set| describe(set, &[COUNTS, RELIABILITY.len() as u16, 1], &RELIABILITY));
        let (exported, dropped) = (self.exported, self.counts.dropped.load(Ordering::SeqCst));
        self.out.set(COUNTS, true, |set| {
            set.extend(std::process::id().to_be_bytes());
            set.extend(exported.to_be_bytes());
            set.extend(dropped.to_be_bytes());
        });
        self.flush();
    }

    fn record(&mut self, flow: &Flow) {
        let class = self.classes.get(flow.class.0 as usize).map_or("", String::as_str);
        let mut name = [0; NAME];
        name.iter_mut().zip(class.bytes()).for_each(|(to, byte)| *to = byte);
        let (from, to) = (flow.downstream, flow.upstream);
        let v4 = from.is_ipv4() && to.is_none_or(|t| t.is_ipv4());
        let (finish, reason): (u16, u8) = match flow.outcome {
            StreamOutcome::Served => (200, 3),
            StreamOutcome::Rejected => (503, 5),
            StreamOutcome::Failed => (500, 3),
            StreamOutcome::TimedOut => (504, 2),
            StreamOutcome::ClientDisconnected => (0, 4),
        };
        let mut record = Vec::with_capacity(128);
        for address in [Some(from.ip()), to.map(|t| t.ip())] {
            match (address, v4) {
                (Some(IpAddr::V4(a)), true) => record.extend(a.octets()),
                (None, true) => record.extend([0; 4]),
                (Some(IpAddr::V4(a)), false) => record.extend(a.to_ipv6_mapped().octets()),
                (Some(IpAddr::V6(a)), _) => record.extend(a.octets()),
                (None, false) => record.extend([0; 16]),
            }
        }
        record.extend(((flow.start / 1000) as u64).to_be_bytes());
        record.extend(((flow.end / 1000) as u64).to_be_bytes());
        record.extend(u64::from(flow.stream).to_be_bytes());
        record.extend((flow.received as u64).to_be_bytes());
        record.extend((flow.sent as u64).to_be_bytes());
        record.extend([6, reason]);
        record.extend(finish.to_be_bytes());
        record.extend(from.port().to_be_bytes());
        record.extend(to.map_or(0, |t| t.port()).to_be_bytes());
        record.extend(name);
        if self.out.bytes.len() + record.len() + 4 > MESSAGE {
            self.flush();
        }
        self.exported += 1;
        self.out.set(if v4 { FLOWS_V4 } else { FLOWS_V6 }, true, |set| set.extend(&record));
    }

    /// Sends what is gathered. What the network loses shows in the sequence numbers.
    fn flush(&mut self) {
        if let Some(message) = self.out.take() {
            let _ = self.socket.send_to(&message, self.collector);
        }
    }
}

fn describe(set: &mut Vec<u8>, head: &[u16], fields: &[Element]) {
    head.iter().for_each(|n| set.extend(n.to_be_bytes()));
    for (element, length) in fields {
        set.extend(element.to_be_bytes());
        set.extend(length.to_be_bytes());
    }
}

/// A message under way.
#[derive(Default)]
struct Message {
    domain: u32,
    /// Data records sent before it, and those in it.
    sequence: u32,
    records: u32,
    bytes: Vec<u8>,
    /// Where the last set begins, and what it is.
    last: Option<(usize, u16)>,
}

impl Message {
    /// Adds to the last set if it is of this id, else to a new one.
    fn set(&mut self, id: u16, record: bool, fill: impl FnOnce(&mut Vec<u8>)) {
        if self.bytes.is_empty() {
            self.bytes.resize(16, 0);
        }
        let start = match self.last.filter(|last| last.1 == id) {
            Some((start, _)) => start,
            None => {
                let start = self.bytes.len();
                self.bytes.extend(id.to_be_bytes());
                self.bytes.extend([0; 2]);
                self.last = Some((start, id));
                start
            }
        };
        fill(&mut self.bytes);
        self.records += u32::from(record);
        let length = (self.bytes.len() - start) as u16;
        self.bytes[start + 2..start + 4].copy_from_slice(&length.to_be_bytes());
    }

    fn take(&mut self) -> Option<Vec<u8>> {
        let mut bytes = std::mem::take(&mut self.bytes);
        if bytes.is_empty() {
            return None;
        }
        let length = bytes.len() as u16;
        bytes[..2].copy_from_slice(&10u16.to_be_bytes());
        bytes[2..4].copy_from_slice(&length.to_be_bytes());
        bytes[4..8].copy_from_slice(&((clock::now() / SECOND) as u32).to_be_bytes());
        bytes[8..12].copy_from_slice(&self.sequence.to_be_bytes());
        bytes[12..16].copy_from_slice(&self.domain.to_be_bytes());
        self.sequence = self.sequence.wrapping_add(self.records);
        (self.records, self.last) = (0, None);
        Some(bytes)
    }
}
