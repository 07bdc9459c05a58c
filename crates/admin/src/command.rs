//! The calls of the admin address: one line each, answered by one line that begins with `+OK` or `-ERR`.

/// The longest line that is read, in bytes, without its end.
pub const MOST: usize = 256;
/// The longest worker id, in bytes.
pub const LONGEST_ID: usize = 128;

/// What a caller asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call<'a> {
    /// Whether this process can serve.
    Status,
    /// The figures, then a line `.`.
    Metrics,
    /// Leave this worker out.
    Suspend(&'a str),
    /// Use that worker again.
    Restore(&'a str),
}

/// Why a line is no call; the text after `-ERR`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// Nothing but blanks.
    Empty,
    /// Beyond [`MOST`] bytes.
    TooLong,
    /// Not printable ASCII.
    NotText,
    /// No such verb.
    Unknown,
    /// A verb that needs a worker's id without one.
    NoId,
    /// More words than the verb takes.
    TooMany,
    /// An id of other bytes, or too long.
    BadId,
}

impl Wrong {
    /// The answer's line, without its end.
    pub fn answer(self) -> &'static str {
        match self {
            Wrong::Empty => "-ERR empty line: say STATUS, METRICS, SUSPEND ID or RESTORE ID",
            Wrong::TooLong => "-ERR line too long: at most 256 bytes",
            Wrong::NotText => "-ERR not text: calls are printable ASCII",
            Wrong::Unknown => "-ERR unknown call: say STATUS, METRICS, SUSPEND ID or RESTORE ID",
            Wrong::NoId => "-ERR no worker id: say SUSPEND ID or RESTORE ID",
            Wrong::TooMany => "-ERR too many words",
            Wrong::BadId => "-ERR not a worker id: at most 128 bytes of letters, digits and -_.:",
        }
    }
}

/// Reads one line, without its end; verbs in any case, words apart by spaces or tabs.
pub fn parse(line: &[u8]) -> Result<Call<'_>, Wrong> {
    if line.len() > MOST {
        return Err(Wrong::TooLong);
    }
    let text = std::str::from_utf8(line).map_err(|_| Wrong::NotText)?;
    if text.bytes().any(|b| !(b == b' ' || b == b'\t' || b.is_ascii_graphic())) {
        return Err(Wrong::NotText);
    }
    let mut words = text.split_ascii_whitespace();
    let verb = words.next().ok_or(Wrong::Empty)?;
    let id = words.next();
    if words.next().is_some() {
        return Err(Wrong::TooMany);
    }
    let with_id = |make: fn(&str) -> Call<'_>| {
        let id: &str = id.ok_or(Wrong::NoId)?;
        let fit = |b: u8| b.is_ascii_alphanumeric() || b"-_.:".contains(&b);
        if id.len() > LONGEST_ID || !id.bytes().all(fit) {
            return Err(Wrong::BadId);
        }
        Ok(make(id))
    };
    let alone = |call: Call<'static>| if id.is_some() { Err(Wrong::TooMany) } else { Ok(call) };
    match verb.to_ascii_uppercase().as_str() {
        "STATUS" => alone(Call::Status),
        "METRICS" => alone(Call::Metrics),
        "SUSPEND" => with_id(|id| Call::Suspend(id)),
        "RESTORE" => with_id(|id| Call::Restore(id)),
        _ => Err(Wrong::Unknown),
    }
}

/// Gathers the bytes of a connection into lines; a line beyond [`MOST`] is given as too long once its end comes,
/// and what it held is not kept: at most [`MOST`] and one read are held.
#[derive(Default)]
pub struct Lines {
    held: Vec<u8>,
    /// Bytes at the front that were given out and go with the next call.
    given: usize,
    over: bool,
}

/// What [`Lines::line`] found.
#[derive(Debug, PartialEq, Eq)]
pub enum Next<'a> {
    /// A whole line, without its end (`\n` or `\r\n`).
    Line(&'a [u8]),
    /// A line that was too long has ended.
    TooLong,
    /// More is needed.
    More,
}

impl Lines {
    /// Takes bytes that came; then [`Lines::line`] until it says [`Next::More`].
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.drain(..std::mem::take(&mut self.given));
        self.held.extend_from_slice(bytes);
    }
    /// Whether part of a line is held.
    pub fn partial(&self) -> bool {
        self.held.len() > self.given || self.over
    }
    /// The next line. What it returns is valid until the next call.
    pub fn line(&mut self) -> Next<'_> {
        self.held.drain(..std::mem::take(&mut self.given));
        let Some(end) = self.held.iter().position(|&b| b == b'\n') else {
            if self.held.len() > MOST + 1 {
                self.held.clear();
                self.over = true;
            }
            return Next::More;
        };
        self.given = end + 1;
        let line_end = if end > 0 && self.held[end - 1] == b'\r' { end - 1 } else { end };
        if std::mem::take(&mut self.over) || line_end > MOST {
            return Next::TooLong;
        }
        Next::Line(&self.held[..line_end])
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use rstest::rstest;

    #[rstest]
    #[case(b"STATUS", Ok(Call::Status))]
    #[case(b"status", Ok(Call::Status))]
    #[case(b"  METRICS ", Ok(Call::Metrics))]
    #[case(b"SUSPEND s-1cafd624", Ok(Call::Suspend("s-1cafd624")))]
    #[case(b"RESTORE\ts-1", Ok(Call::Restore("s-1")))]
    #[case(b"", Err(Wrong::Empty))]
    #[case(b"   ", Err(Wrong::Empty))]
    #[case(b"HELLO", Err(Wrong::Unknown))]
    #[case(b"SUSPEND", Err(Wrong::NoId))]
    #[case(b"SUSPEND a b", Err(Wrong::TooMany))]
    #[case(b"STATUS now", Err(Wrong::TooMany))]
    #[case(b"SUSPEND a/b", Err(Wrong::BadId))]
    #[case(b"SUSPEND \xff", Err(Wrong::NotText))]
    #[case(b"STATUS\x00", Err(Wrong::NotText))]
    fn lines_are_read_as_calls(#[case] line: &[u8], #[case] call: Result<Call<'static>, Wrong>) {
        assert_eq!(parse(line), call);
    }

    #[test]
    fn an_over_long_line_is_told_once_and_the_next_one_is_read() {
        let mut lines = Lines::default();
        lines.push(&[b'x'; 300]);
        assert_eq!(lines.line(), Next::More);
        lines.push(&[b'y'; 300]);
        assert_eq!(lines.line(), Next::More);
        lines.push(b"z\r\nSTATUS\r\nMETR");
        assert_eq!(lines.line(), Next::TooLong);
        assert_eq!(lines.line(), Next::Line(b"STATUS"));
        assert_eq!(lines.line(), Next::More);
        assert!(lines.partial());
        lines.push(b"ICS\n");
        assert_eq!(lines.line(), Next::Line(b"METRICS"));
        assert!(!lines.partial());
    }

    proptest! {
        /// However the bytes are split, the same lines come out, and no more than a line and a read is held.
        #[test]
        fn any_split_gives_the_same_lines(text in "[A-Z \\r\\n]{0,600}", cut in 0usize..600) {
            let whole = {
                let mut lines = Lines::default();
                lines.push(text.as_bytes());
                drain(&mut lines)
            };
            let cut = cut.min(text.len());
            let mut lines = Lines::default();
            lines.push(&text.as_bytes()[..cut]);
            let mut parts = drain(&mut lines);
            prop_assert!(lines.held.len() <= MOST + 1 + cut);
            lines.push(&text.as_bytes()[cut..]);
            parts.extend(drain(&mut lines));
            prop_assert_eq!(whole, parts);
        }

        #[test]
        fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
            let _ = parse(&bytes);
        }
    }

    fn drain(lines: &mut Lines) -> Vec<Option<Vec<u8>>> {
        let mut out = Vec::new();
        loop {
            match lines.line() {
                Next::Line(line) => out.push(Some(line.to_vec())),
                Next::TooLong => out.push(None),
                Next::More => return out,
            }
        }
    }
}
