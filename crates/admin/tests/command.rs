//! Tests of the commands of the admin address.

use proptest::prelude::*;
use roselock_admin::command::{Command, CommandError, parse};
use rstest::rstest;

#[rstest]
#[case(b"STATUS", Ok(Command::Status))]
#[case(b"status", Ok(Command::Status))]
#[case(b"  METRICS ", Ok(Command::Metrics))]
#[case(b"SUSPEND s-1cafd624", Ok(Command::Suspend("s-1cafd624")))]
#[case(b"RESTORE\ts-1", Ok(Command::Restore("s-1")))]
#[case(b"", Err(CommandError::Empty))]
#[case(b"   ", Err(CommandError::Empty))]
#[case(b"HELLO", Err(CommandError::UnknownCommand))]
#[case(b"SUSPEND", Err(CommandError::MissingId))]
#[case(b"SUSPEND a b", Err(CommandError::TooManyWords))]
#[case(b"STATUS now", Err(CommandError::TooManyWords))]
#[case(b"SUSPEND a/b", Err(CommandError::InvalidId))]
#[case(b"SUSPEND \xff", Err(CommandError::NotPrintable))]
#[case(b"STATUS\x00", Err(CommandError::NotPrintable))]
fn lines_are_parsed_as_commands(
    #[case] line: &[u8],
    #[case] expected: Result<Command<'static>, CommandError>,
) {
    assert_eq!(parse(line), expected);
}

/// Operators' tools match these texts.
#[rstest]
#[case(CommandError::Empty, "-ERR empty line: say STATUS, METRICS, SUSPEND ID or RESTORE ID")]
#[case(CommandError::TooLong, "-ERR line too long: at most 256 bytes")]
#[case(CommandError::NotPrintable, "-ERR not text: calls are printable ASCII")]
#[case(CommandError::UnknownCommand, "-ERR unknown call: say STATUS, METRICS, SUSPEND ID or RESTORE ID")]
#[case(CommandError::MissingId, "-ERR no worker id: say SUSPEND ID or RESTORE ID")]
#[case(CommandError::TooManyWords, "-ERR too many words")]
#[case(CommandError::InvalidId, "-ERR not a worker id: at most 128 bytes of letters, digits and -_.:")]
fn each_error_has_its_response(#[case] error: CommandError, #[case] expected: &str) {
    assert_eq!(error.response(), expected);
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = parse(&bytes);
    }
}
