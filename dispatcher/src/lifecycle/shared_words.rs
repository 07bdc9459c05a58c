//! Words of a file that several processes map into their memory.
//!
//! Besides [`inherit`](super::inherit) and [`allocator`](super::allocator), this is the only module of the program that may use
//! `unsafe`: the operating system gives access to a mapped file by an address.
#![allow(unsafe_code)]

use memmap2::{MmapOptions, MmapRaw};
use std::fs::File;
use std::io;
use std::sync::atomic::AtomicU64;

/// A mapped file, as words.
pub struct SharedWords {
    map: MmapRaw,
    count: usize,
}

impl SharedWords {
    /// Maps the first `count` words of a file. The file must be as long, and must not be truncated by any process.
    ///
    /// # Errors
    ///
    /// If the file cannot be mapped.
    pub fn map(file: &File, count: usize) -> io::Result<SharedWords> {
        let map = MmapOptions::new().len(count * size_of::<AtomicU64>()).map_raw(file)?;
        Ok(SharedWords { map, count })
    }

    /// The words. Other processes may change them at any time.
    pub fn as_slice(&self) -> &[AtomicU64] {
        let first = self.map.as_ptr().cast::<AtomicU64>();
        // SAFETY: the mapping has `count` words, starts at a page, and lives as long as `self`. Any bytes are a valid
        // word, and all processes access them as atomics only.
        unsafe { std::slice::from_raw_parts(first, self.count) }
    }
}
