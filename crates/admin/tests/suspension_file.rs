//! Tests of the file of suspended workers.

use proptest::prelude::*;
use roselock_admin::suspension_file::{MAX_AGE_MS, SuspensionFile, SuspensionFileError};
use rstest::rstest;

fn file() -> SuspensionFile {
    let workers = vec!["s-1".to_owned(), "s-2".to_owned()];
    SuspensionFile { site: "portal".into(), name: "n0".into(), seq: 3, written_ms: 1_000, workers }
}

/// A file in which a worker id was changed, but not the checksum.
fn corrupt_bytes() -> Vec<u8> {
    let text = String::from_utf8(file().encode()).expect("UTF-8");
    text.replace("s-2", "s-3").into_bytes()
}

#[test]
fn an_encoded_file_is_decoded() {
    assert_eq!(SuspensionFile::decode(&file().encode(), "portal", "n0", 2_000), Ok(file()));
}

/// A file is read by the next version of the program, and by the previous version after a rollback.
#[test]
fn the_format_is_stable() {
    let text = String::from_utf8(file().encode()).expect("UTF-8");
    let expected = "roselock-suspended 1\n\
        {\"site\":\"portal\",\"name\":\"n0\",\"seq\":3,\"written_ms\":1000,\"workers\":[\"s-1\",\"s-2\"]}\n\
        crc32 5709bf93\n";
    assert_eq!(text, expected);
}

#[rstest]
#[case::empty(b"".to_vec(), SuspensionFileError::Truncated)]
#[case::truncated(file().encode()[..40].to_vec(), SuspensionFileError::Truncated)]
#[case::foreign(b"{\"workers\":[]}\n".to_vec(), SuspensionFileError::UnknownFormat)]
#[case::newer(b"roselock-suspended 2\n{}\ncrc32 0\n".to_vec(), SuspensionFileError::NewerFormat(2))]
#[case::corrupt(corrupt_bytes(), SuspensionFileError::Corrupt)]
fn an_invalid_file_is_rejected(#[case] bytes: Vec<u8>, #[case] expected: SuspensionFileError) {
    assert_eq!(SuspensionFile::decode(&bytes, "portal", "n0", 2_000), Err(expected));
}

#[test]
fn the_file_of_another_dispatcher_and_an_old_file_are_rejected() {
    let bytes = file().encode();
    let other_instance = SuspensionFileError::OtherInstance { site: "portal".into(), name: "n0".into() };
    assert_eq!(SuspensionFile::decode(&bytes, "portal", "n1", 2_000), Err(other_instance));
    let now_ms = 1_000 + MAX_AGE_MS + 1;
    let expired = SuspensionFileError::Expired(MAX_AGE_MS + 1);
    assert_eq!(SuspensionFile::decode(&bytes, "portal", "n0", now_ms), Err(expired));
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = SuspensionFile::decode(&bytes, "portal", "n0", 0);
    }
}
