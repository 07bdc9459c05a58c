//! What is forwarded of a job: to a worker the function, the unique id and the reducer, to an HTTP host a `POST` to the
//! path of the function.

use super::Gearman;
use crate::core::Payload;
use roselock_gearman::Submission;
use std::ops::Range;
use std::sync::Arc;

/// The method of requests to HTTP hosts.
const METHOD: &[u8] = b"POST";

/// The parts of a job in the data of its packet.
pub struct JobParts {
    function: Range<usize>,
    unique: Range<usize>,
    reducer: Range<usize>,
    body: Range<usize>,
}

impl JobParts {
    /// The parts of a submission that was read from `data`, and of its unique id.
    pub fn locate(job: &Submission, unique: &[u8], data: &[u8]) -> JobParts {
        JobParts {
            function: range_in(job.function, data),
            unique: range_in(unique, data),
            reducer: range_in(job.reducer.unwrap_or(b""), data),
            body: range_in(job.data, data),
        }
    }
}

/// Where a part of the data lies in that.
fn range_in(part: &[u8], data: &[u8]) -> Range<usize> {
    if part.is_empty() {
        return 0..0;
    }
    let start = part.as_ptr() as usize - data.as_ptr() as usize;
    start..start + part.len()
}

impl Gearman {
    /// The payload of a job: its packet's data, and the method and path where it goes to HTTP hosts.
    pub(super) fn payload(&self, function: usize, mut raw: Vec<u8>, parts: JobParts) -> Payload {
        let registry = self.functions.load();
        let mut method = parts.function;
        let mut target = parts.unique;
        if let Some(path) = &registry.all[function].path {
            let method_start = raw.len();
            let method_end = method_start + METHOD.len();
            raw.reserve_exact(METHOD.len() + path.len());
            raw.extend_from_slice(METHOD);
            raw.extend_from_slice(path.as_bytes());
            method = method_start..method_end;
            target = method_end..method_end + path.len();
        }
        raw.shrink_to_fit();
        Payload {
            raw: Arc::new(raw),
            method,
            target,
            reducer: parts.reducer,
            body: parts.body,
            ..Payload::default()
        }
    }
}
