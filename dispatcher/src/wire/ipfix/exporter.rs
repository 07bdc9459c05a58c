//! The exporter: batches records into messages, and sends them and the templates to the collector.

use super::elements::{
    COUNT_ELEMENTS, COUNT_SCOPE_FIELDS, COUNTS_TEMPLATE, Element, FLOW_ELEMENTS, IPV4_ELEMENTS,
    IPV4_FLOW_TEMPLATE, IPV6_ELEMENTS, IPV6_FLOW_TEMPLATE, OPTIONS_TEMPLATE_SET_ID, TEMPLATE_SET_ID,
};
use super::message::MessageBuilder;
use super::record::Record;
use super::{IpfixSettings, QueueCounts};
use crate::core::{Flow, clock};
use may::net::UdpSocket;
use may::sync::mpsc::Receiver;
use roselock::{Micros, SECOND};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::RecvTimeoutError;

/// Maximum time that a record waits in a message for further records.
const MAX_BATCH_DELAY: Micros = SECOND / 2;

/// Sends records and templates to the collector.
pub(super) struct Exporter {
    socket: UdpSocket,
    collector: SocketAddr,
    /// Interval at which the templates are sent again.
    template_refresh: Micros,
    counts: Arc<QueueCounts>,
    class_names: Vec<String>,
    message: MessageBuilder,
    /// Number of records that were exported.
    exported: u64,
    /// When the templates were last sent.
    templates_sent_at: Option<Micros>,
    /// The latest time at which the message is sent, if it holds records.
    flush_at: Option<Micros>,
}

impl Exporter {
    pub(super) fn new(
        settings: &IpfixSettings,
        socket: UdpSocket,
        counts: Arc<QueueCounts>,
        class_names: Vec<String>,
    ) -> Exporter {
        Exporter {
            socket,
            collector: settings.collector,
            template_refresh: (settings.template_refresh_s * SECOND as f64) as Micros,
            counts,
            class_names,
            message: MessageBuilder::new(settings.observation_domain),
            exported: 0,
            templates_sent_at: None,
            flush_at: None,
        }
    }

    /// Exports the queued records until the sender is dropped.
    pub(super) fn run(mut self, queue: &Receiver<Flow>) {
        loop {
            let next_due_at = self.send_if_due(clock::now());
            match queue.recv_timeout(clock::time_until(next_due_at)) {
                Ok(flow) => {
                    self.counts.queued.fetch_sub(1, Ordering::SeqCst);
                    self.add_flow(&flow);
                    self.flush_at = self.flush_at.or(Some(clock::now() + MAX_BATCH_DELAY));
                }
                Err(RecvTimeoutError::Timeout) => clock::return_to_worker_thread(),
                Err(RecvTimeoutError::Disconnected) => return self.flush(),
            }
        }
    }

    /// Sends the templates and the message if they are due. Returns when the next of them is due.
    fn send_if_due(&mut self, now: Micros) -> Micros {
        if self.templates_sent_at.is_none_or(|sent_at| now - sent_at >= self.template_refresh) {
            self.templates_sent_at = Some(now);
            self.send_templates();
        }
        if self.flush_at.is_some_and(|flush_at| flush_at <= now) {
            self.flush_at = None;
            self.flush();
        }
        let refresh_at = self.templates_sent_at.unwrap_or(now) + self.template_refresh;
        self.flush_at.map_or(refresh_at, |flush_at| flush_at.min(refresh_at))
    }

    /// Sends the templates, and the current record counts.
    fn send_templates(&mut self) {
        self.flush();
        self.add_flow_template(IPV4_FLOW_TEMPLATE, IPV4_ELEMENTS);
        self.add_flow_template(IPV6_FLOW_TEMPLATE, IPV6_ELEMENTS);
        let header = [COUNTS_TEMPLATE, COUNT_ELEMENTS.len() as u16, COUNT_SCOPE_FIELDS];
        self.message.add_template(OPTIONS_TEMPLATE_SET_ID, &header, &COUNT_ELEMENTS);
        let dropped = self.counts.dropped.load(Ordering::SeqCst);
        let mut counts = Vec::new();
        counts.extend(std::process::id().to_be_bytes());
        counts.extend(self.exported.to_be_bytes());
        counts.extend(dropped.to_be_bytes());
        self.message.add_record(COUNTS_TEMPLATE, &counts);
        self.flush();
    }

    fn add_flow_template(&mut self, id: u16, addresses: [Element; 2]) {
        let elements: Vec<Element> = addresses.into_iter().chain(FLOW_ELEMENTS).collect();
        self.message.add_template(TEMPLATE_SET_ID, &[id, elements.len() as u16], &elements);
    }

    fn add_flow(&mut self, flow: &Flow) {
        let class_name = self.class_names.get(flow.class.0 as usize).map_or("", String::as_str);
        let record = Record::new(flow, class_name);
        if !self.message.has_room(record.bytes.len()) {
            self.flush();
        }
        self.exported += 1;
        self.message.add_record(record.template, &record.bytes);
    }

    /// Sends the message. Errors are ignored: the collector detects lost messages by their sequence numbers.
    fn flush(&mut self) {
        if let Some(message) = self.message.finish() {
            let _ = self.socket.send_to(&message, self.collector);
        }
    }
}
