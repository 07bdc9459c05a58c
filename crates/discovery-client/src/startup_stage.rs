//! How far a start has come, as on-call staff and the front see it.

use crate::poll_schedule::Micros;

/// A stage of the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[repr(u8)]
pub enum Stage {
    /// It has no list at all, and its call to the list service has not been answered.
    #[default]
    Turn = 0,
    /// It sends by the list that it came up with, which the list service has not confirmed yet.
    Before = 1,
    /// The list service has told it the list, and its watch is open.
    Confirmed = 2,
    /// The watch broke: the list was confirmed before, and is kept until the next call is answered.
    Kept = 3,
}

impl Stage {
    /// In words.
    pub fn words(self) -> &'static str {
        match self {
            Stage::Turn => "waiting for its turn",
            Stage::Before => "list of before, unconfirmed",
            Stage::Confirmed => "list confirmed",
            Stage::Kept => "watch broken, list kept",
        }
    }
    /// By its number.
    pub fn of(number: u8) -> Stage {
        [Stage::Turn, Stage::Before, Stage::Confirmed, Stage::Kept]
            .get(usize::from(number))
            .copied()
            .unwrap_or_default()
    }
}

/// A start, from the first moment on.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    began: Micros,
    stage: Stage,
    /// The latest word of the list service.
    told: Option<Micros>,
    /// A call that nothing has answered.
    under_way: bool,
    /// Calls made, and how many of them failed.
    pub calls: u64,
    /// See [`Start::calls`].
    pub failed: u64,
}

impl Start {
    /// Begins, with a list of before or without one.
    pub fn begin(now: Micros, known: bool) -> Start {
        let stage = if known { Stage::Before } else { Stage::Turn };
        Start { began: now, stage, told: None, under_way: false, calls: 0, failed: 0 }
    }
    /// The stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }
    /// A call begins.
    pub fn called(&mut self) {
        (self.calls, self.under_way) = (self.calls + 1, true);
    }
    /// The list service has told something: how long after the start, if it is the first word.
    pub fn told(&mut self, now: Micros) -> Option<Micros> {
        let first = self.told.is_none();
        (self.told, self.stage, self.under_way) = (Some(now), Stage::Confirmed, false);
        first.then_some(now - self.began)
    }
    /// A call failed, or the watch broke.
    pub fn broken(&mut self) {
        self.failed += std::mem::take(&mut self.under_way) as u64;
        if self.stage == Stage::Confirmed {
            self.stage = Stage::Kept;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    /// Guards against a stage that says more than is known: a failed call confirms nothing, and a break is no start.
    #[rstest]
    #[case(false, Stage::Turn)]
    #[case(true, Stage::Before)]
    fn the_stages_follow_what_the_list_service_says(#[case] known: bool, #[case] first: Stage) {
        let mut start = Start::begin(1_000, known);
        start.called();
        start.broken();
        assert_eq!((start.stage(), start.calls, start.failed), (first, 1, 1));
        start.called();
        assert_eq!(start.told(5_000), Some(4_000));
        assert_eq!((start.stage(), start.told(6_000)), (Stage::Confirmed, None));
        // A watch that breaks is no failed call.
        start.broken();
        assert_eq!((start.stage(), start.failed), (Stage::Kept, 1));
        start.called();
        start.told(9_000);
        assert_eq!(start.stage(), Stage::Confirmed);
        assert_eq!(Stage::of(Stage::Kept as u8), Stage::Kept);
    }
}
