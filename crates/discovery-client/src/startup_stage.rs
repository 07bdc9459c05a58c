//! How far a start has come, as operators see it.

use crate::poll_schedule::Micros;

/// A stage of the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[repr(u8)]
pub enum StartupStage {
    /// There is no endpoint list, and no call to the list service has been answered.
    #[default]
    WaitingForTurn = 0,
    /// A cached list is in use, which the list service has not confirmed yet.
    ListUnconfirmed = 1,
    /// The list service has sent a list, and its watch is open.
    ListConfirmed = 2,
    /// The watch is broken; the list was confirmed before and stays in use until the next call is answered.
    WatchBroken = 3,
}

impl StartupStage {
    /// All stages, by number.
    const ALL: [StartupStage; 4] = [
        StartupStage::WaitingForTurn,
        StartupStage::ListUnconfirmed,
        StartupStage::ListConfirmed,
        StartupStage::WatchBroken,
    ];

    /// The stage as `STATUS` and `METRICS` show it.
    #[must_use]
    pub fn description(self) -> &'static str {
        match self {
            StartupStage::WaitingForTurn => "waiting for its turn",
            StartupStage::ListUnconfirmed => "list of before, unconfirmed",
            StartupStage::ListConfirmed => "list confirmed",
            StartupStage::WatchBroken => "watch broken, list kept",
        }
    }

    /// The stage with this number; the first stage for a number that is none.
    #[must_use]
    pub fn from_number(number: u8) -> StartupStage {
        StartupStage::ALL.get(usize::from(number)).copied().unwrap_or_default()
    }
}

/// The progress of a start.
#[derive(Clone, Copy, Debug)]
pub struct StartupProgress {
    started_at: Micros,
    stage: StartupStage,
    /// Whether the list service has sent anything.
    is_confirmed: bool,
    /// Whether a call has been neither answered nor failed.
    call_in_flight: bool,
    /// Calls to the list service.
    pub calls: u64,
    /// Calls among them that failed.
    pub failed_calls: u64,
}

impl StartupProgress {
    /// A start at `now`, with a cached list or without one.
    #[must_use]
    pub fn new(now: Micros, has_cached_list: bool) -> StartupProgress {
        let stage =
            if has_cached_list { StartupStage::ListUnconfirmed } else { StartupStage::WaitingForTurn };
        StartupProgress {
            started_at: now,
            stage,
            is_confirmed: false,
            call_in_flight: false,
            calls: 0,
            failed_calls: 0,
        }
    }

    /// The stage.
    #[must_use]
    pub fn stage(&self) -> StartupStage {
        self.stage
    }

    /// Records the begin of a call.
    pub fn record_call(&mut self) {
        self.calls += 1;
        self.call_in_flight = true;
    }

    /// Records a watch event; returns the time from the start to it, in microseconds, if it is the first one.
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
