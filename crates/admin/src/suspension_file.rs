//! The file of workers out by hand, kept in `$TMPDIR` for the next process of an upgrade, and for the other one
//! while both serve. Three lines: a mark with the format's version, the body as JSON, and the body's CRC-32. It is
//! written whole under another name and renamed, so a reader finds the old file or the new one; what it cannot
//! trust it names and leaves.

use serde::{Deserialize, Serialize};

/// The first word of the file.
pub const MARK: &str = "roselock-suspended";
/// The version of the format that is written.
pub const FORMAT: u32 = 1;
/// Most workers out by hand that are kept; the admin address refuses more.
pub const MOST: usize = 4096;
/// A file older than this, in milliseconds of the wall clock, is of another life: seven days.
pub const OLDEST_MS: u64 = 7 * 24 * 3600 * 1000;

/// What the file holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Saved {
    /// The site whose file it is.
    pub site: String,
    /// The dispatcher's name.
    pub name: String,
    /// Grows with each change, whichever process makes it: the greater one holds.
    pub seq: u64,
    /// When it was written, Unix time in milliseconds.
    pub written_ms: u64,
    /// The ids of the workers out by hand, in order.
    pub workers: Vec<String>,
}

/// Why a file is not trusted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unfit {
    /// It ends before its three lines.
    Cut,
    /// It does not begin with the mark.
    Foreign,
    /// A later version of the program wrote it.
    Newer(u32),
    /// Its sum is not that of its body, or its body is no such object.
    Spoilt,
    /// Another site's, or another dispatcher's.
    Other(String, String),
    /// Written so many milliseconds ago.
    Stale(u64),
    /// More workers than are kept.
    TooMany(usize),
}

impl std::fmt::Display for Unfit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unfit::Cut => write!(f, "cut off"),
            Unfit::Foreign => write!(f, "not a file of workers out by hand"),
            Unfit::Newer(format) => write!(f, "format {format} is newer than {FORMAT}"),
            Unfit::Spoilt => write!(f, "its checksum or body is wrong"),
            Unfit::Other(site, name) => write!(f, "of site {site:?}, dispatcher {name:?}"),
            Unfit::Stale(ms) => write!(f, "written {} s ago", ms / 1000),
            Unfit::TooMany(n) => write!(f, "{n} workers, more than {MOST}"),
        }
    }
}

impl Saved {
    /// The file's bytes.
    pub fn encode(&self) -> Vec<u8> {
        let body = serde_json::to_string(self).unwrap_or_default();
        format!("{MARK} {FORMAT}\n{body}\ncrc32 {:08x}\n", crc32fast::hash(body.as_bytes())).into_bytes()
    }

    /// Reads a file, which must be of this site and dispatcher and younger than [`OLDEST_MS`] at `now_ms`.
    pub fn decode(bytes: &[u8], site: &str, name: &str, now_ms: u64) -> Result<Saved, Unfit> {
        let text = String::from_utf8_lossy(bytes);
        let mut lines = text.split_inclusive('\n');
        let mut line = || lines.next().and_then(|l| l.strip_suffix('\n')).ok_or(Unfit::Cut);
        let head = line()?;
        let format = head.strip_prefix(MARK).and_then(|f| f.strip_prefix(' ')).ok_or(Unfit::Foreign)?;
        let format: u32 = format.parse().map_err(|_| Unfit::Foreign)?;
        if format > FORMAT {
            return Err(Unfit::Newer(format));
        }
        let (body, sum) = (line()?, line()?);
        if sum != format!("crc32 {:08x}", crc32fast::hash(body.as_bytes())) {
            return Err(Unfit::Spoilt);
        }
        let saved: Saved = serde_json::from_str(body).map_err(|_| Unfit::Spoilt)?;
        if (saved.site.as_str(), saved.name.as_str()) != (site, name) {
            return Err(Unfit::Other(saved.site, saved.name));
        }
        if now_ms.saturating_sub(saved.written_ms) > OLDEST_MS {
            return Err(Unfit::Stale(now_ms - saved.written_ms));
        }
        if saved.workers.len() > MOST {
            return Err(Unfit::TooMany(saved.workers.len()));
        }
        Ok(saved)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use rstest::rstest;

    fn saved() -> Saved {
        let workers = vec!["s-1".to_owned(), "s-2".to_owned()];
        Saved { site: "portal".into(), name: "n0".into(), seq: 3, written_ms: 1_000, workers }
    }

    #[test]
    fn what_is_written_is_read() {
        assert_eq!(Saved::decode(&saved().encode(), "portal", "n0", 2_000), Ok(saved()));
    }

    #[rstest]
    #[case::empty(b"".to_vec(), Unfit::Cut)]
    #[case::cut(saved().encode()[..40].to_vec(), Unfit::Cut)]
    #[case::foreign(b"{\"workers\":[]}\n".to_vec(), Unfit::Foreign)]
    #[case::newer(b"roselock-suspended 2\n{}\ncrc32 0\n".to_vec(), Unfit::Newer(2))]
    #[case::spoilt(String::from_utf8(saved().encode()).unwrap().replace("s-2", "s-3").into_bytes(), Unfit::Spoilt)]
    fn what_cannot_be_trusted_is_named(#[case] bytes: Vec<u8>, #[case] unfit: Unfit) {
        assert_eq!(Saved::decode(&bytes, "portal", "n0", 2_000), Err(unfit));
    }

    #[test]
    fn another_dispatchers_or_an_old_file_is_left() {
        let bytes = saved().encode();
        assert_eq!(
            Saved::decode(&bytes, "portal", "n1", 2_000),
            Err(Unfit::Other("portal".into(), "n0".into()))
        );
        let late = 1_000 + OLDEST_MS + 1;
        assert_eq!(Saved::decode(&bytes, "portal", "n0", late), Err(Unfit::Stale(OLDEST_MS + 1)));
    }

    proptest! {
        #[test]
        fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            let _ = Saved::decode(&bytes, "portal", "n0", 0);
        }
    }
}
