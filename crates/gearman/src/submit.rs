//! The ten packet types that submit a job, as one struct.

use crate::packet::{Kind, Magic, Packet, encode, parse_number};
use std::fmt;

/// A job's priority within its function.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Served before all others.
    High,
    /// The default priority.
    #[default]
    Normal,
    /// Served after all others.
    Low,
}

impl Priority {
    /// All priorities, in the order in which they are served.
    pub const ALL: [Priority; 3] = [Priority::High, Priority::Normal, Priority::Low];
}

/// When a job may start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum When {
    /// Immediately.
    #[default]
    Now,
    /// Not before this many seconds since the Unix epoch.
    Epoch(u64),
    /// At the next minute that matches all fields; a field without a value matches any value.
    Sched {
        /// 0 to 59.
        minute: Option<u8>,
        /// 0 to 23.
        hour: Option<u8>,
        /// Day of the month, 1 to 31.
        day: Option<u8>,
        /// 1 to 12.
        month: Option<u8>,
        /// 0 (Monday) to 6.
        weekday: Option<u8>,
    },
}

/// The submission of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Submission<'a> {
    /// The function that is to run it.
    pub function: &'a [u8],
    /// Its unique id: submissions of a function with the same id are joined to one job. `-` stands for the data itself;
    /// empty for none.
    pub unique: &'a [u8],
    /// Its priority.
    pub priority: Priority,
    /// Whether the job is a background job, for whose result no client waits.
    pub background: bool,
    /// When it may start.
    pub when: When,
    /// For a reduce job, the function that reduces its results.
    pub reducer: Option<&'a [u8]>,
    /// Its data.
    pub data: &'a [u8],
}

/// The reason for which a packet is not a valid submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidSubmission {
    /// The packet type does not submit a job.
    Kind,
    /// The scheduled time is not a number or out of range.
    Time,
}

impl fmt::Display for InvalidSubmission {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            InvalidSubmission::Kind => "submits nothing",
            InvalidSubmission::Time => "the time is no time",
        })
    }
}

impl std::error::Error for InvalidSubmission {}

impl<'a> Submission<'a> {
    /// Creates the submission of a foreground job of normal priority.
    pub fn new(function: &'a [u8], unique: &'a [u8], data: &'a [u8]) -> Submission<'a> {
        Submission {
            function,
            unique,
            priority: Priority::Normal,
            background: false,
            when: When::Now,
            reducer: None,
            data,
        }
    }

    /// Converts a packet into a submission.
    ///
    /// # Errors
    /// If the packet type does not submit a job, or its scheduled time is invalid.
    pub fn read(packet: &Packet<'a>) -> Result<Submission<'a>, InvalidSubmission> {
        use Packet as P;
        Ok(match *packet {
            P::SubmitJob { function, unique, data } => Submission::new(function, unique, data),
            P::SubmitJobHigh { function, unique, data } => {
                Submission::new(function, unique, data).with_priority(Priority::High)
            }
            P::SubmitJobLow { function, unique, data } => {
                Submission::new(function, unique, data).with_priority(Priority::Low)
            }
            P::SubmitJobBg { function, unique, data } => Submission::new_background(function, unique, data),
            P::SubmitJobHighBg { function, unique, data } => {
                Submission::new_background(function, unique, data).with_priority(Priority::High)
            }
            P::SubmitJobLowBg { function, unique, data } => {
                Submission::new_background(function, unique, data).with_priority(Priority::Low)
            }
            P::SubmitReduceJob { function, unique, reducer, data } => {
                Submission { reducer: Some(reducer), ..Submission::new(function, unique, data) }
            }
            P::SubmitReduceJobBackground { function, unique, reducer, data } => {
                Submission { reducer: Some(reducer), ..Submission::new_background(function, unique, data) }
            }
            P::SubmitJobEpoch { function, unique, epoch, data } => {
                let when = When::Epoch(parse_number(epoch).ok_or(InvalidSubmission::Time)?);
                Submission { when, ..Submission::new_background(function, unique, data) }
            }
            P::SubmitJobSched { function, unique, minute, hour, day, month, weekday, data } => {
                let when = When::Sched {
                    minute: parse_calendar_field(minute, 0, 59)?,
                    hour: parse_calendar_field(hour, 0, 23)?,
                    day: parse_calendar_field(day, 1, 31)?,
                    month: parse_calendar_field(month, 1, 12)?,
                    weekday: parse_calendar_field(weekday, 0, 6)?,
                };
                Submission { when, ..Submission::new_background(function, unique, data) }
            }
            _ => return Err(InvalidSubmission::Kind),
        })
    }

    fn new_background(function: &'a [u8], unique: &'a [u8], data: &'a [u8]) -> Submission<'a> {
        Submission { background: true, ..Submission::new(function, unique, data) }
    }

    fn with_priority(self, priority: Priority) -> Submission<'a> {
        Submission { priority, ..self }
    }

    /// The type of the packet that submits the job. There are no packet types with a priority for scheduled jobs and
    /// reduce jobs, and scheduled jobs are always background jobs.
    pub fn kind(&self) -> Kind {
        match (self.when, self.reducer, self.background, self.priority) {
            (When::Epoch(_), ..) => Kind::SubmitJobEpoch,
            (When::Sched { .. }, ..) => Kind::SubmitJobSched,
            (_, Some(_), false, _) => Kind::SubmitReduceJob,
            (_, Some(_), true, _) => Kind::SubmitReduceJobBackground,
            (_, _, false, Priority::High) => Kind::SubmitJobHigh,
            (_, _, false, Priority::Normal) => Kind::SubmitJob,
            (_, _, false, Priority::Low) => Kind::SubmitJobLow,
            (_, _, true, Priority::High) => Kind::SubmitJobHighBg,
            (_, _, true, Priority::Normal) => Kind::SubmitJobBg,
            (_, _, true, Priority::Low) => Kind::SubmitJobLowBg,
        }
    }

    /// Appends the encoded packet, as a client sends it.
    pub fn write(&self, out: &mut Vec<u8>) {
        let mut args = vec![self.function, self.unique];
        let schedule = schedule_args(&self.when);
        args.extend(schedule.iter().map(String::as_bytes));
        if self.when == When::Now {
            args.extend(self.reducer);
        }
        args.push(self.data);
        encode(Magic::Req, self.kind(), &args, out);
    }
}

/// Encodes a scheduled time as arguments.
fn schedule_args(when: &When) -> Vec<String> {
    match when {
        When::Now => Vec::new(),
        When::Epoch(seconds) => vec![seconds.to_string()],
        When::Sched { minute, hour, day, month, weekday } => {
            let fields = [minute, hour, day, month, weekday];
            let text = |field: &Option<u8>| field.map_or_else(String::new, |value| value.to_string());
            fields.into_iter().map(text).collect()
        }
    }
}

/// Parses a field of a scheduled time. Empty, `*` and `-1` match any value.
fn parse_calendar_field(arg: &[u8], min: u8, max: u8) -> Result<Option<u8>, InvalidSubmission> {
    if matches!(arg, b"" | b"*" | b"-1") {
        return Ok(None);
    }
    let value =
        parse_number(arg).and_then(|value| u8::try_from(value).ok()).ok_or(InvalidSubmission::Time)?;
    if !(min..=max).contains(&value) {
        return Err(InvalidSubmission::Time);
    }
    Ok(Some(value))
}
