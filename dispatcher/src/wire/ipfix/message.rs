//! The encoding of IPFIX messages (RFC 7011, 3).

use super::elements::Element;
use crate::core::clock;
use roselock::SECOND;

/// Most bytes of a message: what an unfragmented datagram carries.
const MAX_MESSAGE: usize = 1400;
/// Bytes of a message's header.
const MESSAGE_HEADER_LENGTH: usize = 16;
/// Bytes of a set's header: its id and its length.
const SET_HEADER_LENGTH: usize = 4;
/// The version of IPFIX.
const VERSION: u16 = 10;

/// A set of a message.
struct Set {
    id: u16,
    /// Where it begins in the message.
    start: usize,
}

/// Builds messages one after another.
pub(super) struct MessageBuilder {
    observation_domain: u32,
    /// Data records in the messages before this one.
    sequence: u32,
    /// Data records in this message.
    records: u32,
    bytes: Vec<u8>,
    last_set: Option<Set>,
}

impl MessageBuilder {
    pub(super) fn new(observation_domain: u32) -> MessageBuilder {
        MessageBuilder { observation_domain, sequence: 0, records: 0, bytes: Vec::new(), last_set: None }
    }

    /// Whether a data record of this length, with the header of a new set, still fits.
    pub(super) fn has_room(&self, record_length: usize) -> bool {
        self.bytes.len() + record_length + SET_HEADER_LENGTH <= MAX_MESSAGE
    }

    /// Adds a data record to the last set if that has the same template, else to a new one.
    pub(super) fn add_record(&mut self, template: u16, record: &[u8]) {
        self.add_to_set(template, record);
        self.records += 1;
    }

    /// Adds a template to the last set if that has the same id, else to a new one. The template begins with
    /// `header`: its id, the number of its elements and, for an options template, that of its scope fields.
    pub(super) fn add_template(&mut self, set: u16, header: &[u16], elements: &[Element]) {
        let mut template = Vec::new();
        for value in header {
            template.extend(value.to_be_bytes());
        }
        for element in elements {
            template.extend(element.id.to_be_bytes());
            template.extend(element.length.to_be_bytes());
        }
        self.add_to_set(set, &template);
    }

    /// The message, if it has a set, and begins the next one.
    pub(super) fn finish(&mut self) -> Option<Vec<u8>> {
        let mut bytes = std::mem::take(&mut self.bytes);
        if bytes.is_empty() {
            return None;
        }
        let length = bytes.len() as u16;
        let export_time = (clock::now() / SECOND) as u32;
        bytes[..2].copy_from_slice(&VERSION.to_be_bytes());
        bytes[2..4].copy_from_slice(&length.to_be_bytes());
        bytes[4..8].copy_from_slice(&export_time.to_be_bytes());
        bytes[8..12].copy_from_slice(&self.sequence.to_be_bytes());
        bytes[12..16].copy_from_slice(&self.observation_domain.to_be_bytes());
        self.sequence = self.sequence.wrapping_add(self.records);
        self.records = 0;
        self.last_set = None;
        Some(bytes)
    }

    fn add_to_set(&mut self, id: u16, content: &[u8]) {
        if self.bytes.is_empty() {
            self.bytes.resize(MESSAGE_HEADER_LENGTH, 0);
        }
        let start = match &self.last_set {
            Some(set) if set.id == id => set.start,
            _ => self.begin_set(id),
        };
        self.bytes.extend(content);
        let length = (self.bytes.len() - start) as u16;
        self.bytes[start + 2..start + SET_HEADER_LENGTH].copy_from_slice(&length.to_be_bytes());
    }

    /// Begins a set; where it begins in the message.
    fn begin_set(&mut self, id: u16) -> usize {
        let start = self.bytes.len();
        self.bytes.extend(id.to_be_bytes());
        self.bytes.resize(start + SET_HEADER_LENGTH, 0);
        self.last_set = Some(Set { id, start });
        start
    }
}
