//! The ids that clients give to requests.

/// The dispatcher to which a client gave a request, by its id.
pub fn dispatcher_of(id: &str) -> Option<usize> {
    id.strip_prefix('d')?.split_once('-')?.0.parse().ok()
}

/// The id of a request to a dispatcher.
pub fn job_id(dispatcher: usize, number: u64) -> String {
    format!("d{dispatcher}-{number:x}")
}
