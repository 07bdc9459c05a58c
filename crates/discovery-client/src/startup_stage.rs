//! The progress of the startup, as shown to operators.

use crate::poll_schedule::Micros;

/// A stage of the startup.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[repr(u8)]
pub enum StartupStage {
    /// There is no endpoint list, and no call to the discovery service has been answered.
    #[default]
    NoList = 0,
    /// A cached list is in use; the discovery service has not confirmed it yet.
    ListUnconfirmed = 1,
    /// The discovery service has sent a list, and its watch is open.
    ListConfirmed = 2,
    /// The watch is broken. The list, which was confirmed before, stays in use until the next call is answered.
    WatchBroken = 3,
}

impl StartupStage {
    /// All stages, by number.
    const ALL: [StartupStage; 4] = [
        StartupStage::NoList,
        StartupStage::ListUnconfirmed,
        StartupStage::ListConfirmed,
        StartupStage::WatchBroken,
    ];

    /// The stage as `STATUS` and `METRICS` show it.
    #[must_use]
    pub fn description(self) -> &'static str {
        match self {
            StartupStage::NoList => "waiting for its turn",
            StartupStage::ListUnconfirmed => "list of before, unconfirmed",
            StartupStage::ListConfirmed => "list confirmed",
            StartupStage::WatchBroken => "watch broken, list kept",
        }
    }

    /// The stage with this number, or the first stage if there is none.
    #[must_use]
    pub fn from_u8(value: u8) -> StartupStage {
        StartupStage::ALL.get(usize::from(value)).copied().unwrap_or_default()
    }
}

/// The progress of the startup.
#[derive(Clone, Copy, Debug)]
pub struct StartupProgress {
    started_at: Micros,
    stage: StartupStage,
    /// Whether the discovery service has sent a list.
    is_confirmed: bool,
    /// Whether a call has neither been answered nor failed.
    call_in_flight: bool,
    /// Number of calls to the discovery service.
    pub calls: u64,
    /// Number of these calls that failed.
    pub failed_calls: u64,
}

impl StartupProgress {
    /// A startup at `now`, with or without a cached list.
    #[must_use]
    pub fn new(now: Micros, has_cached_list: bool) -> StartupProgress {
        let stage = if has_cached_list { StartupStage::ListUnconfirmed } else { StartupStage::NoList };
        StartupProgress {
            started_at: now,
            stage,
            is_confirmed: false,
            call_in_flight: false,
            calls: 0,
            failed_calls: 0,
        }
    }

    /// The current stage.
    #[must_use]
    pub fn stage(&self) -> StartupStage {
        self.stage
    }

    /// Records the start of a call.
    pub fn record_call(&mut self) {
        self.calls += 1;
        self.call_in_flight = true;
    }

    /// Records a watch event; returns the time since the startup began, in microseconds, if it is the first event.
    pub fn record_list(&mut self, now: Micros) -> Option<Micros> {
        let is_first = !self.is_confirmed;
        self.is_confirmed = true;
        self.stage = StartupStage::ListConfirmed;
        self.call_in_flight = false;
        is_first.then_some(now - self.started_at)
    }

    /// Records a failed call or a broken watch.
    pub fn record_watch_end(&mut self) {
        if self.call_in_flight {
            self.failed_calls += 1;
            self.call_in_flight = false;
        }
        if self.stage == StartupStage::ListConfirmed {
            self.stage = StartupStage::WatchBroken;
        }
    }
}
