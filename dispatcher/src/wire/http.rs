//! HTTP/1.1 messages. Heads are parsed in place in the read buffer; bodies are framed by `Content-Length` or
//! chunked.

mod buffered_request;
mod chunked;
mod error;
mod head;
mod load_report;
mod message;
mod read_buffer;
mod reader;
mod response;

pub use buffered_request::BufferedRequest;
pub use chunked::StreamRead;
pub use error::HttpError;
pub use load_report::parse_load_report;
pub use message::Message;
pub use reader::Reader;
pub use response::{Response, write_response};

use crate::core::clock;
use roselock::Micros;

/// Maximum size of a request or response body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a head, and of a trailer section, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;

/// The deadline `timeout` from now.
pub fn deadline_after(timeout: Micros) -> Micros {
    clock::now() + timeout
}
