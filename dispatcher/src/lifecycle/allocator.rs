//! Settings of the C library's allocator.
//!
//! Besides [`inherit`](super::inherit) and [`shared_words`](super::shared_words), this is the only module of the program that may
//! use `unsafe`: the C library has no other interface to its settings.
#![allow(unsafe_code)]

/// Allocations from this size on, in bytes, are mapped separately, so that their memory returns to the system when they are
/// freed. Smaller ones share a heap, which may keep the memory of a freed buffer between those that are in use.
#[cfg(target_env = "gnu")]
const MMAP_THRESHOLD_BYTES: libc::c_int = 32 << 10;

/// Configures the allocator of the process. The C library would raise its threshold with each larger buffer that is freed, up
/// to 32 MiB.
#[cfg(target_env = "gnu")]
pub fn configure() {
    // SAFETY: the call has no preconditions; it locks the allocator's settings itself.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
    }
}

/// Other C libraries have no such setting.
#[cfg(not(target_env = "gnu"))]
pub fn configure() {}
