//! The payload of a job: for a worker the function name, the unique ID and the reducer, for an HTTP host a `POST` to
//! the path of the function.

use super::Gearman;
use crate::core::Payload;
use roselock_gearman::Submission;
use std::ops::Range;
use std::sync::Arc;

/// The request method for HTTP hosts.
const METHOD: &[u8] = b"POST";

/// The ranges of a job's parts in the data of its packet.
pub struct JobParts {
    function: Range<usize>,
    unique: Range<usize>,
    reducer: Range<usize>,
    body: Range<usize>,
}

impl JobParts {
    /// Locates the parts of a submission, and its unique ID, in the `data` that they borrow from.
    pub fn locate(job: &Submission, unique: &[u8], data: &[u8]) -> JobParts {
        JobParts {
            function: range_in(job.function, data),
            unique: range_in(unique, data),
            reducer: range_in(job.reducer.unwrap_or(b""), data),
            body: range_in(job.data, data),
        }
    }
}

/// The range of a subslice of `data`.
fn range_in(part: &[u8], data: &[u8]) -> Range<usize> {
    if part.is_empty() {
        return 0..0;
    }
    let start = part.as_ptr() as usize - data.as_ptr() as usize;
    start..start + part.len()
}

impl Gearman {
    /// Builds the payload of a job from the data of its packet. For a function that runs on HTTP hosts, the method and
    /// the path are appended.
    pub(super) fn build_payload(&self, function: usize, mut raw: Vec<u8>, parts: JobParts) -> Payload {
        let registry = self.function_registry.load();
        let mut method = parts.function;
        let mut target = parts.unique;
        if let Some(path) = &registry.functions[function].path {
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
