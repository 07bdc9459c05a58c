//! Export of finished streams as IPFIX flow records (RFC 7011, RFC 7012) over UDP.
//!
//! A bounded queue stands between the owner thread and the exporter. Records that do not fit are dropped and
//! counted, and the count is exported with the templates.

mod elements;
mod exporter;
mod message;
mod record;
mod settings;

pub use settings::IpfixSettings;

use crate::core::{Flow, FlowSink};
use exporter::Exporter;
use may::net::UdpSocket;
use may::sync::mpsc::{Sender, channel};
use roselock::settings::Site;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Most records that wait to be exported.
const MAX_QUEUED: usize = 1024;

/// The owner thread's end of the queue.
struct Queue {
    records: Sender<Flow>,
    counts: Arc<QueueCounts>,
}

/// The counts that both ends of the queue share.
#[derive(Default)]
struct QueueCounts {
    /// Records that wait to be exported.
    queued: AtomicUsize,
    /// Records that were dropped.
    dropped: AtomicU64,
}

impl FlowSink for Queue {
    fn finished(&self, flow: Flow) {
        let queued = self.counts.queued.fetch_add(1, Ordering::SeqCst);
        if queued >= MAX_QUEUED || self.records.send(flow).is_err() {
            self.counts.queued.fetch_sub(1, Ordering::SeqCst);
            self.counts.dropped.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Starts the exporter.
///
/// # Errors
/// Its socket cannot be opened.
pub fn start(settings: &IpfixSettings, site: &Site) -> io::Result<Box<dyn FlowSink>> {
    let any_address = if settings.collector.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(any_address)?;
    let (records, queue) = channel();
    let counts = Arc::new(QueueCounts::default());
    let class_names = site.classes.names().to_vec();
    let exporter = Exporter::new(settings, socket, counts.clone(), class_names);
    may::go!(move || exporter.run(&queue));
    Ok(Box::new(Queue { records, counts }))
}
