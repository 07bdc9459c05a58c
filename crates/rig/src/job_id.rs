//! The ids that clients give to requests.

/// The number of the dispatcher to which a client sent a request, by its id; none if it is no such id.
#[must_use]
pub fn dispatcher_of(id: &str) -> Option<usize> {
    id.strip_prefix('d')?.split_once('-')?.0.parse().ok()
}

/// The id of a request to a dispatcher.
#[must_use]
pub fn job_id(dispatcher: usize, number: u64) -> String {
    format!("d{dispatcher}-{number:x}")
}
