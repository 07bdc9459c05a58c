//! Writes responses.

use crate::wire::socket::Socket;
use roselock::Micros;
use std::io;

/// A response to write.
#[derive(Default)]
pub struct Response<'a> {
    /// The status code.
    pub status: u16,
    /// Additional headers, each terminated by CRLF.
    pub headers: &'a str,
    /// The body.
    pub body: &'a [u8],
    /// Whether the connection closes after the response.
    pub close: bool,
}

/// Writes a response.
///
/// # Errors
/// The connection failed, or the deadline passed.
pub fn write_response(socket: &Socket, response: &Response, deadline: Micros) -> io::Result<()> {
    let Response { status, headers, body, close } = *response;
    let connection = if close { "Connection: close\r\n" } else { "" };
    let length = match status {
        204 => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    let reason = reason_phrase(status);
    let head = format!("HTTP/1.1 {status} {reason}\r\n{headers}{connection}{length}\r\n");
    socket.write(&[head.as_bytes(), body], deadline)
}

/// The reason phrase of a status (RFC 9110, 15).
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Unknown",
    }
}
