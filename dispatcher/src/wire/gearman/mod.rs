//! The Gearman front: clients' jobs become streams, workers that register become upstream hosts. It translates
//! and decides nothing; a function's entry says whether its jobs go to Gearman workers or to HTTP hosts.

mod admin;
mod client;
mod packet;
mod worker;

use super::http::{Bad, Reader, by};
use super::socket::Socket;
use super::table::{HELLO, INCOMING, Rank, Spare, Table};
use crate::memory::{FleetId, Inbox, UpstreamId, UpstreamRequest};
use client::{Client, Jobs};
use may::net::{TcpListener, TcpStream};
use may::sync::mpsc::{Receiver, Sender, channel};
use packet::{Incoming, Kind, args, packet};
use roselock::settings::Site;
use roselock::{ClassId, Micros, SECOND, Settings, TenantId, ZoneId};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use worker::Worker;

/// How long a packet may take to go out.
const TRANSFER: Micros = 10 * SECOND;
/// How long a connection with nothing under way may be silent.
const IDLE: Micros = 3600 * SECOND;

/// The file that turns the front on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Where clients and workers come in.
    pub listen: SocketAddr,
    /// How long a worker that just registered counts as cold, in seconds; without it, as the settings say.
    #[serde(default)]
    pub cold_s: Option<f64>,
    /// The functions that are taken.
    #[serde(default)]
    pub function: Vec<FunctionEntry>,
}

/// A function as the file says it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FunctionEntry {
    /// Its name.
    pub name: String,
    /// The class of its jobs.
    pub class: String,
    /// The class of those submitted with high or low priority, where it differs.
    #[serde(default)]
    pub class_high: Option<String>,
    #[serde(default)]
    pub class_low: Option<String>,
    /// Whose jobs they are.
    #[serde(default)]
    pub tenant: Option<String>,
    /// How long its clients wait.
    pub deadline_s: f64,
    /// `gearman` for workers that register it, or a path such as `/api/pay` at the HTTP hosts.
    pub target: String,
}

/// A function that is taken.
#[derive(Clone, Debug)]
pub struct Function {
    /// Its name.
    pub name: String,
    /// Its classes: high, ordinary, low.
    classes: [ClassId; 3],
    tenant: Option<TenantId>,
    patience: Micros,
    /// The path at the HTTP hosts, where it goes there.
    path: Option<String>,
    /// Its fleet.
    pub fleet: FleetId,
}

impl Function {
    /// Whether Gearman workers run it.
    pub fn by_workers(&self) -> bool {
        self.path.is_none()
    }
}

/// Checks the file against the settings. Functions get the HTTP fleet until one of their own is made.
pub fn functions(file: &File, site: &Site) -> Result<Vec<Function>, String> {
    let mut functions: Vec<Function> = Vec::new();
    for entry in &file.function {
        let at = |what: String| format!("function {:?}: {what}", entry.name);
        let class = |name: &String| {
            let known = site.classes.known(name).map(|c| ClassId(c as u16));
            known.ok_or_else(|| at(format!("unknown class {name:?}")))
        };
        let tenant = match &entry.tenant {
            Some(t) => Some(site.tenants.known(t).ok_or_else(|| at(format!("unknown tenant {t:?}")))?),
            None => None,
        };
        if entry.name.is_empty() || entry.name.bytes().any(|b| b == 0 || b.is_ascii_whitespace()) {
            return Err(at("a name has no blanks".into()));
        }
        if functions.iter().any(|f| f.name == entry.name) {
            return Err(at("named twice".into()));
        }
        if !(entry.deadline_s > 0.0 && entry.deadline_s <= 3600.0) {
            return Err(at("deadline_s must be above 0 and at most 3600".into()));
        }
        let path = match entry.target.as_str() {
            "gearman" => None,
            path if path.starts_with('/') && path.bytes().all(|b| b.is_ascii_graphic()) => {
                Some(path.to_owned())
            }
            other => return Err(at(format!("target {other:?} is neither \"gearman\" nor a path"))),
        };
        functions.push(Function {
            name: entry.name.clone(),
            classes: [
                class(entry.class_high.as_ref().unwrap_or(&entry.class))?,
                class(&entry.class)?,
                class(entry.class_low.as_ref().unwrap_or(&entry.class))?,
            ],
            tenant: tenant.map(|t| TenantId(t as u16)),
            patience: (entry.deadline_s * SECOND as f64) as Micros,
            path,
            fleet: 0,
        });
    }
    Ok(functions)
}

/// What the decisions of a function's own fleet are told: its workers come to us alone, and take one job each.
pub fn settings(site: &Site, cold_s: Option<f64>) -> Settings {
    let mut set = site.settings.clone();
    (set.fleet_size, set.me, set.must_watch, set.live_units) = (1, 0, false, false);
    (set.tells_start, set.limits.may_probe, set.limits.max_streams) = (true, false, 1);
    (set.costs.cross_zone, set.costs.handshake, set.costs.origin) = (0.0, 0.0, 0.0);
    set.classes.iter_mut().for_each(|c| c.kind = None);
    if let Some(cold) = cold_s.filter(|c| c.is_finite() && *c >= 0.0) {
        set.safety.cold = (cold * SECOND as f64) as Micros;
        if set.safety.cold == 0 {
            set.safety.cold_share = 1.0;
        }
    }
    set
}

/// What all connections of the front share.
pub struct Gearman {
    /// The functions that are taken.
    pub functions: Vec<Function>,
    /// The way to the decisions.
    pub inbox: Inbox,
    zone: ZoneId,
    jobs: Mutex<Jobs>,
    peers: Mutex<BTreeMap<u64, Arc<Peer>>>,
    next_peer: AtomicU64,
    next_job: AtomicU64,
    /// What job ids begin with: new with every life.
    life: u64,
    table: Arc<Table>,
}

/// A connection, of a client, a worker, or both.
pub struct Peer {
    number: u64,
    address: SocketAddr,
    letters: Sender<Letter>,
    name: Mutex<String>,
    worker: Worker,
}

/// What is posted to a connection's writer.
pub enum Letter {
    /// Bytes to write; the last word on a job if so marked.
    Write(Vec<u8>, bool),
    /// An upstream request for the worker here.
    Start(UpstreamRequest, usize),
    /// Its end.
    Abort(UpstreamId),
}

/// Short sections without waits inside; the runtime's threads are never held up.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Gearman {
    /// A front without connections.
    pub fn new(functions: Vec<Function>, inbox: Inbox, zone: ZoneId, life: u64, most: usize) -> Gearman {
        Gearman {
            functions,
            inbox,
            zone,
            jobs: Mutex::default(),
            peers: Mutex::default(),
            next_peer: AtomicU64::new(1),
            next_job: AtomicU64::new(1),
            life,
            table: Table::new(most),
        }
    }
    fn function(&self, name: &[u8]) -> Option<usize> {
        self.functions.iter().position(|f| f.name.as_bytes() == name)
    }
}

/// Accepts connections for ever.
pub fn accept(front: Arc<Gearman>, listener: &TcpListener) {
    let table = front.table.clone();
    table.accept(listener, move |stream, address| serve(&front, stream, address));
}

fn serve(front: &Arc<Gearman>, stream: TcpStream, address: SocketAddr) {
    let socket = Socket::new(stream);
    let mut reader = Reader::new(socket.clone());
    let (letters, box_) = channel();
    let number = front.next_peer.fetch_add(1, Ordering::SeqCst);
    let peer = Arc::new(Peer { number, address, letters, name: Mutex::default(), worker: Worker::default() });
    lock(&front.peers).insert(number, peer.clone());
    let (writing, writer, out) = (front.clone(), peer.clone(), socket.clone());
    may::go!(move || write(&writing, &writer, &out, &box_));
    let mut client = Client::default();
    // Until it has sent a packet it has this long, and is among the first to go where there are too many.
    let hello = by(HELLO);
    let mut stranger = Some(front.table.spare(Rank::Stranger, &socket));
    loop {
        let engaged = stranger.is_some() || peer.worker.is_engaged() || client.waits();
        let idle = (!engaged).then(|| front.table.spare(Rank::Idle, &socket));
        let incoming = match stranger {
            Some(_) => packet::read(&mut reader, hello, || hello),
            None => packet::read(&mut reader, by(IDLE), || by(INCOMING)),
        };
        if !stranger.take().or(idle).is_none_or(Spare::keep) {
            break;
        }
        let heeded = match incoming {
            Ok(Incoming::Packet(kind, data)) => heed(front, &peer, &mut client, kind, &data),
            Ok(Incoming::Unknown(code)) => {
                let text = format!("packet type {code} is not spoken here");
                Some(error("UNKNOWN_COMMAND", &text))
            }
            Ok(Incoming::Line(line)) => Some(admin::answer(front, &line).into_bytes()),
            Err(Bad::Status(_)) => {
                let _ = socket.write(&[&error("BAD_PACKET", "too large, or not a packet")], by(TRANSFER));
                break;
            }
            Err(Bad::Late) if peer.worker.is_engaged() || client.waits() => continue,
            Err(_) => break,
        };
        heeded.into_iter().for_each(|bytes| peer.post(bytes, false));
    }
    // Whatever it ran or waited for, it is gone.
    lock(&front.peers).remove(&number);
    peer.worker.leave(front, &peer);
    client.leave(front, &peer);
    peer.post(Vec::new(), false);
    socket.close();
}

impl Peer {
    fn post(&self, bytes: Vec<u8>, last: bool) {
        let _ = self.letters.send(Letter::Write(bytes, last));
    }
}

/// The writer ends with an empty letter, after the reader.
fn write(front: &Arc<Gearman>, peer: &Arc<Peer>, socket: &Socket, box_: &Receiver<Letter>) {
    let mut open = true;
    while let Ok(letter) = box_.recv() {
        let bytes = match letter {
            Letter::Write(bytes, last) => {
                if bytes.is_empty() {
                    break;
                }
                open &= !open || socket.write(&[&bytes], by(TRANSFER)).is_ok();
                if last {
                    front.inbox.wrote();
                }
                None
            }
            Letter::Start(request, function) => peer.worker.engage(front, request, function),
            Letter::Abort(id) => {
                peer.worker.release(id);
                None
            }
        };
        if let Some(bytes) = bytes {
            open &= !open || socket.write(&[&bytes], by(TRANSFER)).is_ok();
        }
        if !open {
            socket.close();
        }
    }
    // What was posted meanwhile finds nobody: attempts never ran, answers have no reader.
    while let Ok(letter) = box_.try_recv() {
        match letter {
            Letter::Write(_, true) => front.inbox.wrote(),
            Letter::Start(request, _) => worker::never_ran(front, request.id, true),
            _ => {}
        }
    }
}

fn error(code: &str, text: &str) -> Vec<u8> {
    packet(Kind::Error, &[code.as_bytes(), text.as_bytes()])
}

/// Heeds one packet; what it returns goes back to the sender.
fn heed(
    front: &Arc<Gearman>,
    peer: &Arc<Peer>,
    client: &mut Client,
    kind: Kind,
    data: &[u8],
) -> Option<Vec<u8>> {
    match kind {
        Kind::SubmitJob => client.submit(front, peer, data, 1, false),
        Kind::SubmitJobHigh => client.submit(front, peer, data, 0, false),
        Kind::SubmitJobLow => client.submit(front, peer, data, 2, false),
        Kind::SubmitJobBg => client.submit(front, peer, data, 1, true),
        Kind::SubmitJobHighBg => client.submit(front, peer, data, 0, true),
        Kind::SubmitJobLowBg => client.submit(front, peer, data, 2, true),
        Kind::GetStatus => Some(client::status(front, data)),
        Kind::GetStatusUnique => Some(client::status_by_unique(front, data)),
        Kind::OptionReq => Some(client.option(data)),
        Kind::EchoReq => Some(packet(Kind::EchoRes, &[data])),
        Kind::SetClientId => {
            *lock(&peer.name) = String::from_utf8_lossy(&data[..data.len().min(128)]).into_owned();
            None
        }
        Kind::AllYours => None,
        Kind::CanDo => peer.worker.can_do(front, peer, data),
        Kind::CanDoTimeout => peer.worker.can_do(front, peer, args::<2>(data).map_or(data, |a| a[0])),
        Kind::CantDo => peer.worker.cant_do(front, peer, data),
        Kind::ResetAbilities => peer.worker.reset(front, peer),
        Kind::PreSleep => peer.worker.pre_sleep(),
        Kind::GrabJob | Kind::GrabJobUniq | Kind::GrabJobAll => Some(peer.worker.grab(front, kind)),
        Kind::WorkStatus | Kind::WorkData | Kind::WorkWarning => peer.worker.tell(front, kind, data),
        Kind::WorkComplete | Kind::WorkFail | Kind::WorkException => peer.worker.finish(front, kind, data),
        _ => Some(error("UNEXPECTED_PACKET", "only a server sends this")),
    }
}
