//! Time and identifier types.

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
    /// Identifies a client request. Ids are never reused.
    JobId(u32);
    /// Identifies a worker. The id is the same across restarts of the worker's process and at every
    /// dispatcher; a hash of the worker's address serves.
    WorkerId(u64);
    /// Index into [`Settings::classes`](crate::Settings::classes).
    ClassId(u16);
    /// Index into [`Settings::tenants`](crate::Settings::tenants).
    TenantId(u16);
    /// Identifies a zone (server room).
    ZoneId(u16);
    /// Identifies a machine kind.
    KindId(u16);
    /// Identifies a cell: a group of workers that share the idempotency keys they have seen.
    CellId(u32);
    /// Identifies the data that a request needs. Requests for the same data have equal ids.
    KeyId(u64);
}
