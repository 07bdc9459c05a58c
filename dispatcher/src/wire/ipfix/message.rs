//! Encoding of IPFIX messages (RFC 7011, 3).

use super::elements::Element;
use crate::core::clock;
use roselock::SECOND;

/// Maximum size of a message, in bytes. It fits into an unfragmented datagram.
const MAX_MESSAGE_BYTES: usize = 1400;
/// Length of a message header, in bytes.
const MESSAGE_HEADER_LENGTH: usize = 16;
/// Length of a set header, in bytes. The header consists of the id and the length of the set.
const SET_HEADER_LENGTH: usize = 4;
/// The version number in the message header.
const VERSION: u16 = 10;

/// A set within a message.
struct Set {
    id: u16,
    /// The start offset of the set in the message.
    start: usize,
}

/// Builds a sequence of messages.
pub(super) struct MessageBuilder {
    observation_domain: u32,
    /// Number of data records in the previous messages.
    sequence: u32,
    /// Number of data records in the current message.
    records: u32,
    bytes: Vec<u8>,
    last_set: Option<Set>,
}

impl MessageBuilder {
    pub(super) fn new(observation_domain: u32) -> MessageBuilder {
        MessageBuilder { observation_domain, sequence: 0, records: 0, bytes: Vec::new(), last_set: None }
    }

    /// Whether a data record of this length, with the header of a new set, fits into the current message.
    pub(super) fn has_room(&self, record_length: usize) -> bool {
        self.bytes.len() + record_length + SET_HEADER_LENGTH <= MAX_MESSAGE_BYTES
    }

    /// Adds a data record to the last set if that set has the same template, otherwise to a new set.
    pub(super) fn add_record(&mut self, template: u16, record: &[u8]) {
        self.add_to_set(template, record);
        self.records += 1;
    }

    /// Adds a template to the last set if that set has the same id, otherwise to a new set. The template
    /// begins with `header`: the template id, the number of elements and, for an options template, the number
    /// of scope fields.
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

    /// Completes the message and starts the next one. Returns `None` if the message is empty.
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

    /// Begins a set. Returns its start offset in the message.
    fn begin_set(&mut self, id: u16) -> usize {
        let start = self.bytes.len();
        self.bytes.extend(id.to_be_bytes());
        self.bytes.resize(start + SET_HEADER_LENGTH, 0);
        self.last_set = Some(Set { id, start });
        start
    }
}
