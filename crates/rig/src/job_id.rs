//! The ids that clients assign to requests.

/// The number of the dispatcher to which the request with this id was sent; none if the id is not valid.
#[must_use]
pub fn dispatcher_of(id: &str) -> Option<usize> {
    id.strip_prefix('d')?.split_once('-')?.0.parse().ok()
}

/// The id of a request to a dispatcher; `number` is unique in a run.
#[must_use]
pub fn job_id(dispatcher: usize, number: u64) -> String {
    format!("d{dispatcher}-{number:x}")
}
