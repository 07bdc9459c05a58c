//! The platform's front: clients' streams and upstream hosts' call-backs on one listener.

use super::http::{self, Bad, Message, Reader, by};
use super::table::{HELLO, INCOMING, Rank, Spare, Table};
use super::{callbacks, socket::Socket};
use crate::memory::{Answer, Downstream, FleetId, Inbox, Input, NewStream, Payload, StreamId};
use may::net::{TcpListener, TcpStream};
use may::sync::mpsc::{Receiver, Sender, channel};
use roselock::settings::{Site, fnv};
use roselock::{ClassId, KeyId, Micros, SECOND, TenantId};
use roselock_operation::figures::{End, Figures};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How long a connection that has asked for something may idle.
const IDLE: Micros = 120 * SECOND;
/// How long an answer may take to go out.
const TRANSFER: Micros = 10 * SECOND;
/// How long a connection that said its last word waits for the client's next byte or its close, in all, and how many
/// bytes it reads and drops meanwhile.
const CLOSING_TIMEOUT: Micros = SECOND / 2;
const PARTED: Micros = 2 * SECOND;
const PARTING_BYTES: usize = 8 << 20;
/// Bytes behind a held stream that are kept for its connection's next one. Clients send one request at a time: where
/// there is more, the connection ends with the answer.
const AHEAD: usize = 8 * 1024;
/// While there are such bytes, the answer's end is looked for this often.
const BEHIND: Micros = SECOND / 50;
/// The longest patience that is believed.
const PATIENCE: f64 = 3600.0;

/// What all connections of the front share.
pub struct Front {
    /// The settings and their names.
    pub site: Arc<Site>,
    /// The way to the decisions.
    pub inbox: Inbox,
    /// Who runs the streams.
    pub fleet: FleetId,
    /// Its connections; some of them are kept for call-backs, without which no stream would end.
    pub table: Arc<Table>,
    /// Streams held.
    pub held: AtomicUsize,
    /// Bytes that bodies may still take.
    pub bytes: AtomicUsize,
    /// Whether the listener is the platform's, on which the next process accepts once this one stops.
    pub inherited: bool,
    /// The figures of the admin address: who is turned away here is counted here.
    pub figures: Arc<Figures>,
}

/// The answer to a call-back.
const CALLED_BACK: u16 = 204;
/// Connections kept for call-backs.
const FOR_CALL_BACKS: usize = 96;

/// Short sections without waits inside; the runtime's thread is never held up.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Room for a large body.
struct Bulk(Arc<Front>, usize);

impl Bulk {
    /// None where there is none.
    fn new(front: &Arc<Front>, bytes: usize) -> Option<Bulk> {
        let less = |left: usize| left.checked_sub(bytes);
        let taken = front.bytes.fetch_update(Ordering::SeqCst, Ordering::SeqCst, less);
        taken.is_ok().then(|| Bulk(front.clone(), bytes))
    }
}

impl Drop for Bulk {
    fn drop(&mut self) {
        self.0.bytes.fetch_add(self.1, Ordering::SeqCst);
    }
}

/// A stream that a connection holds until its answer is written, and the room for its body.
struct Held {
    front: Arc<Front>,
    _bulk: Bulk,
}

impl Held {
    /// None where so many are held that call-backs might find no connection.
    fn new(front: &Arc<Front>, bulk: Bulk) -> Option<Held> {
        let held = Held { front: front.clone(), _bulk: bulk };
        let others = front.held.fetch_add(1, Ordering::SeqCst);
        (others + FOR_CALL_BACKS.min(front.table.most / 4) < front.table.most).then_some(held)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.front.held.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Accepts connections for ever.
pub fn accept(front: Arc<Front>, listener: &TcpListener) {
    let table = front.table.clone();
    let (inbox, inherited) = (front.inbox.clone(), front.inherited);
    let go_on = move || !(inherited && inbox.stopping().is_some());
    table.accept(listener, go_on, move |stream, peer| serve(&front, stream, peer));
    tracing::info!("no more connections are taken: the next process takes them on the inherited listener");
}

/// Sends answers to a connection's writer.
struct AnswerSender {
    inbox: Inbox,
    answers: Sender<Answer>,
}

impl Downstream for AnswerSender {
    fn answer(&self, answer: Answer, _ran: u32) {
        self.inbox.owe_write();
        if self.answers.send(answer).is_err() {
            self.inbox.wrote();
        }
    }
}

/// A connection's writer, started with its first stream.
struct Writer {
    answers: Sender<Answer>,
    written: Receiver<Written>,
    exchange: Arc<Mutex<Exchange>>,
}

/// What became of an answer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Written {
    /// The connection stays for the next stream.
    Kept,
    /// It was the last word: what comes behind it is not taken.
    Closed,
    /// It could not be written.
    Broken,
}

/// The exchange on a connection, as its reader and its writer share it. While the dispatcher holds a stream, the client
/// waits; after the answer the client may be long in coming back, so the connection may be shed. The reader only learns
/// of that when more comes in.
#[derive(Default)]
struct Exchange {
    held: Option<Held>,
    /// The connection ends with this answer.
    close: bool,
    spare: Option<Spare>,
}

impl Writer {
    fn exchange(&self) -> MutexGuard<'_, Exchange> {
        lock(&self.exchange)
    }
}

fn start_writer(front: &Arc<Front>, socket: &Socket) -> Writer {
    let (answers, posted) = channel::<Answer>();
    let (done, written) = channel();
    let exchange = Arc::<Mutex<Exchange>>::default();
    let (front, socket, shared) = (front.clone(), socket.clone(), exchange.clone());
    may::go!(move || {
        while let Ok(answer) = posted.recv() {
            // Who borrows the id of another's stream need not stay.
            let astray = answer == Answer::Conflict;
            let close = astray || lock(&shared).close || front.inbox.closes_connections();
            let sent = write_answer(&socket, &answer, close);
            let became = match sent {
                Ok(()) if close => Written::Closed,
                Ok(()) => Written::Kept,
                Err(_) => Written::Broken,
            };
            match became {
                Written::Kept => {}
                Written::Closed => socket.finish(),
                Written::Broken => socket.close(),
            }
            let rank = if close { Rank::Closing } else { Rank::Idle };
            *lock(&shared) =
                Exchange { spare: Some(front.table.spare(rank, &socket)), ..Exchange::default() };
            // From here on the process may end: the connection is among those that are told so.
            front.inbox.wrote();
            if done.send(became).is_err() {
                break;
            }
        }
    });
    Writer { answers, written, exchange }
}

fn write_answer(socket: &Socket, answer: &Answer, close: bool) -> std::io::Result<()> {
    let by = by(TRANSFER);
    match answer {
        Answer::Served(body) => http::respond(socket, 200, "", body, close, by),
        Answer::Refused(0) => http::respond(socket, 503, "", b"", close, by),
        Answer::Refused(after) => {
            let after = format!("Retry-After: {:.3}\r\n", *after as f64 / SECOND as f64);
            http::respond(socket, 503, &after, b"", close, by)
        }
        Answer::Conflict => http::respond(socket, 409, "", b"", close, by),
        Answer::Failed => http::respond(socket, 500, "", b"", close, by),
        Answer::TimedOut => http::respond(socket, 504, "", b"", close, by),
    }
}

fn serve(front: &Arc<Front>, stream: TcpStream, peer: SocketAddr) {
    let socket = Socket::new(stream);
    let mut reader = Reader::new(socket.clone());
    let mut writer: Option<Writer> = None;
    // The stream whose answer is yet to be written, as far as this side knows.
    let mut pending: Option<StreamId> = None;
    // Something that came behind a stream was not kept.
    let mut dropped = false;
    // Until it has sent a stream or a call-back, it is among the first to go where there are too many.
    let mut unidentified = Some(front.table.spare(Rank::Unidentified, &socket));
    // Until it has sent anything that makes sense, it has this long.
    let mut hello = Some(by(HELLO));
    loop {
        // While a stream is held, this watches for the client's leaving, whatever has come behind the stream.
        let filled = match (reader.is_empty(), &pending, &unidentified) {
            (true, Some(_), _) => reader.fill(by(IDLE)),
            (false, Some(_), _) => read_ahead(&mut reader, writer.as_ref(), &mut dropped),
            (false, None, _) => Ok(true),
            (true, None, Some(_)) => reader.fill(hello.unwrap_or_else(|| by(IDLE))),
            (true, None, None) => {
                let spare = front.table.spare(Rank::Idle, &socket);
                let filled = reader.fill(by(IDLE));
                if !spare.keep() {
                    return part(front, &socket, &mut reader);
                }
                filled
            }
        };
        if let Some(stream) = pending {
            let Some(writer) = &writer else { return };
            let became = match (filled, writer.written.try_recv().ok()) {
                (_, Some(became)) => became,
                (Ok(true) | Err(Bad::Late), None) => continue,
                _ => {
                    writer.exchange().held = None;
                    front.inbox.post(Input::Left(stream));
                    return;
                }
            };
            let kept = writer.exchange().spare.take().is_some_and(Spare::keep);
            match became {
                Written::Broken => return,
                Written::Kept if kept && !dropped => pending = None,
                // What came behind the last word is not taken: nobody would hear of it.
                _ => return part(front, &socket, &mut reader),
            }
            if filled == Err(Bad::Late) {
                continue;
            }
        }
        if filled != Ok(true) {
            return;
        }
        let due =
            hello.unwrap_or_else(|| reader.began().map_or_else(|| by(INCOMING), |began| began + INCOMING));
        let whole = reader.request(due).and_then(|head| {
            let bulk = Bulk::new(front, head.0.bulk()).ok_or(Bad::Status(503))?;
            Ok((reader.request_body(head, due)?, bulk))
        });
        let (message, bulk) = match whole {
            Ok(whole) => whole,
            Err(bad) => {
                let status = match bad {
                    Bad::Status(status) => status,
                    Bad::Late => 408,
                    Bad::Ended | Bad::Broken => {
                        tracing::debug!(%peer, partial = !reader.is_empty(), "connection ended: {bad:?}");
                        return;
                    }
                };
                let held = reader.held().iter().take(160).copied().collect::<Vec<u8>>();
                tracing::debug!(%peer, status, first = hello.is_some(), held = %held.escape_ascii(), "request not read whole: {bad:?}");
                if http::respond(&socket, status, after(status), b"", true, by(CLOSING_TIMEOUT)).is_ok() {
                    part(front, &socket, &mut reader);
                }
                return;
            }
        };
        let close = message.close;
        match route(front, (message, bulk), peer, (&socket, &mut writer, &mut unidentified)) {
            Routed::Held(stream) => (pending, hello) = (Some(stream), None),
            Routed::Shed => return part(front, &socket, &mut reader),
            Routed::Reply(status, more, body) => {
                // Whose first word made no sense need not stay.
                let astray = hello.is_some() && (400..500).contains(&status);
                let close = close || astray || front.inbox.closes_connections();
                let sent = http::respond(&socket, status, more, body.as_bytes(), close, by(CLOSING_TIMEOUT));
                if close || sent.is_err() {
                    return part(front, &socket, &mut reader);
                }
                hello = None;
                unidentified.take_if(|_| status == CALLED_BACK);
            }
        }
    }
}

/// What a local reply says further: when there may be room again.
fn after(status: u16) -> &'static str {
    if status == 503 { "Retry-After: 1\r\n" } else { "" }
}

/// Reads what comes behind a held stream, of which little is kept: enough to see the client leave.
fn read_ahead(reader: &mut Reader, writer: Option<&Writer>, dropped: &mut bool) -> Result<bool, Bad> {
    if reader.held().len() < AHEAD {
        return reader.fill(by(BEHIND));
    }
    *dropped = true;
    writer.into_iter().for_each(|w| w.exchange().close = true);
    reader.skip(by(BEHIND))
}

/// Lets the last answer arrive: closing with bytes unread would reset the connection under it.
fn part(front: &Arc<Front>, socket: &Socket, reader: &mut Reader) {
    let _spare = front.table.spare(Rank::Closing, socket);
    socket.finish();
    let (last, mut left) = (by(PARTED), PARTING_BYTES);
    while left > 0 && reader.skip(by(CLOSING_TIMEOUT).min(last)) == Ok(true) {
        left = left.saturating_sub(reader.held().len());
    }
}

enum Routed {
    Held(StreamId),
    Shed,
    Reply(u16, &'static str, &'static str),
}

fn route(
    front: &Arc<Front>,
    (message, bulk): (Message, Bulk),
    peer: SocketAddr,
    (socket, writer, unidentified): (&Socket, &mut Option<Writer>, &mut Option<Spare>),
) -> Routed {
    let (method, target) = (message.text(&message.method), message.text(&message.target));
    let path = target.split('?').next().unwrap_or("");
    match (method, path) {
        ("POST", callbacks::PATH) => {
            let known = callbacks::take(message.body(), &front.site, &front.inbox, front.inherited);
            return Routed::Reply(if known { CALLED_BACK } else { 400 }, "", "");
        }
        ("GET", "/health/ready") => {
            let ready = front.inbox.able() && front.inbox.stopping().is_none();
            return Routed::Reply(if ready { 200 } else { 503 }, "", front.figures.stage().words());
        }
        ("POST", _) => {}
        (_, callbacks::PATH) => return Routed::Reply(405, "Allow: POST\r\n", ""),
        (_, "/health/ready") => return Routed::Reply(405, "Allow: GET\r\n", ""),
        _ => return Routed::Reply(404, "", ""),
    }
    let close = message.close;
    let Some(new) = stream_of(front, message, peer) else { return Routed::Reply(400, "", "") };
    let Some(held) = Held::new(front, bulk) else {
        front.figures.ended(new.class.0 as usize, End::Deferred, false);
        return Routed::Reply(503, after(503), "");
    };
    // Whose request is passed on has to stay for the answer.
    if unidentified.take().is_some_and(|s| !s.keep()) {
        return Routed::Shed;
    }
    let writer = writer.get_or_insert_with(|| start_writer(front, socket));
    (writer.exchange().held, writer.exchange().close) = (Some(held), close);
    let (id, class) = (front.inbox.stream_id(), new.class);
    let downstream = AnswerSender { inbox: front.inbox.clone(), answers: writer.answers.clone() };
    let new = NewStream { id, downstream: Box::new(downstream), ..new };
    if !front.inbox.enter(Box::new(new)) {
        // The process ends, and this stream came a moment too late.
        writer.exchange().held = None;
        front.figures.ended(class.0 as usize, End::Deferred, false);
        return Routed::Reply(503, after(503), "");
    }
    Routed::Held(id)
}

/// Nobody's side: a place holder until the stream's own is known.
struct Nobody;

impl Downstream for Nobody {
    fn answer(&self, _: Answer, _: u32) {}
}

/// A further figure of a request, from `name=value,name=value`.
fn figure(info: &str, name: &str) -> Option<f64> {
    let pairs = info.split(',').filter_map(|p| p.split_once('='));
    let named = pairs.filter(|(n, _)| n.trim() == name).filter_map(|(_, v)| v.trim().parse::<f64>().ok());
    named.into_iter().find(|v| v.is_finite() && *v >= 0.0)
}

fn stream_of(front: &Front, message: Message, peer: SocketAddr) -> Option<NewStream> {
    let id = message.header("x-call-id").filter(|id| !message.text(id).trim().is_empty())?;
    let class = front.site.classes.known(message.value("x-call-class")?)?;
    let budget: f64 = message.value("x-budget")?.parse().ok().filter(|b| (0.0..=PATIENCE).contains(b))?;
    let tenant = message.value("x-caller").and_then(|t| front.site.tenants.known(t));
    let info = message.value("x-call-info").unwrap_or("");
    let path = message.text(&message.target).split('?').next().unwrap_or("");
    // The first part names the service; what follows it is what the request concerns.
    let key = path.trim_start_matches('/').split_once('/').and_then(|(_, rest)| rest.rsplit('/').next());
    let key = key.filter(|k| !k.is_empty()).map(|k| KeyId(fnv(k.as_bytes())));
    Some(NewStream {
        id: 0,
        fleet: front.fleet,
        class: ClassId(class as u16),
        tenant: tenant.map(|t| TenantId(t as u16)),
        key,
        slots: figure(info, "slots").unwrap_or(1.0),
        memory: figure(info, "memory").unwrap_or(0.0),
        hint: message.value("x-call-cost").and_then(|h| h.parse().ok()),
        ran: 0,
        deadline: message.arrived + (budget * SECOND as f64) as Micros,
        peer,
        downstream: Box::new(Nobody),
        payload: Arc::new(Payload {
            idempotency_key: message.header("idempotency-key").unwrap_or_default(),
            id,
            method: message.method,
            target: message.target,
            body: message.body,
            raw: Arc::new(message.raw),
            ..Payload::default()
        }),
    })
}

#[cfg(test)]
#[path = "front_tests.rs"]
mod tests;
