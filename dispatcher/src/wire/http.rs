//! HTTP/1.1: heads are parsed in place in the buffer they were read into; bodies are framed by length or in
//! chunks.

mod chunked;
mod error;
mod head;
mod load_report;
mod message;
mod read_buffer;
mod reader;
mod response;

pub use error::HttpError;
pub use load_report::parse_load_report;
pub use message::Message;
pub use reader::Reader;
pub use response::{Response, write_response};

use crate::core::clock;
use roselock::Micros;

/// Longest body of a request or response, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
/// Longest head, in bytes; also the longest trailer section.
const MAX_HEAD: usize = 8 * 1024;

/// The deadline that lies this far ahead, in microseconds.
pub fn deadline_after(span: Micros) -> Micros {
    clock::now() + span
}
