//! Export of finished streams as IPFIX flow records (RFC 7011, RFC 7012) over UDP.
//!
//! The event loop passes records to the exporter through a bounded queue. Records that exceed its capacity
//! are dropped and counted, and the count is exported with the templates.

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

/// Maximum number of queued records.
const MAX_QUEUED_RECORDS: usize = 1024;

/// The event loop's end of the record queue.
struct QueueSender {
    records: Sender<Flow>,
    counts: Arc<QueueCounts>,
}

/// Counts that both ends of the queue share.
#[derive(Default)]
struct QueueCounts {
    /// Number of records that wait to be exported.
    queued: AtomicUsize,
    /// Number of records that were dropped.
    dropped: AtomicU64,
}

impl FlowSink for QueueSender {
    fn record_flow(&self, flow: Flow) {
        let queued = self.counts.queued.fetch_add(1, Ordering::SeqCst);
        if queued >= MAX_QUEUED_RECORDS || self.records.send(flow).is_err() {
            self.counts.queued.fetch_sub(1, Ordering::SeqCst);
            self.counts.dropped.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Starts the exporter.
///
/// # Errors
/// The socket cannot be opened.
pub fn start(settings: &IpfixSettings, site: &Site) -> io::Result<Box<dyn FlowSink>> {
    let any_address = if settings.collector.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(any_address)?;
    let (records, queue) = channel();
    let counts = Arc::new(QueueCounts::default());
    let class_names = site.classes.names().to_vec();
    let exporter = Exporter::new(settings, socket, counts.clone(), class_names);
    may::go!(move || exporter.run(&queue));
    Ok(Box::new(QueueSender { records, counts }))
}
