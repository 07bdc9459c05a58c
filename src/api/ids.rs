//! Time and identifiers.

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

/// One second in [`Micros`].
pub const SECOND: Micros = 1_000_000;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A client request; an id is never used again.
    JobId(u32);
    /// A worker: the same across restarts of its process and at every scheduler (a hash of its address, for
    /// example).
    WorkerId(u64);
    /// Index into [`Settings::classes`](crate::Settings::classes).
    ClassId(u16);
    /// Index into [`Settings::tenants`](crate::Settings::tenants).
    TenantId(u16);
    /// A zone (server room).
    ZoneId(u16);
    /// A machine kind.
    KindId(u16);
    /// A group of workers that share the idempotency keys that they have seen.
    CellId(u32);
    /// The data that a request needs. Requests for the same data have equal ids.
    KeyId(u64);
}
