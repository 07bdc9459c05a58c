//! The ten ways to submit a job, as one record.

use crate::packet::{Kind, Magic, Packet, encode, number};

/// A job's priority within its function.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Before all others.
    High,
    /// As usual.
    #[default]
    Normal,
    /// After all others.
    Low,
}

impl Priority {
    /// All of them, the first to be served first.
    pub const ALL: [Priority; 3] = [Priority::High, Priority::Normal, Priority::Low];
}

/// When a job may start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum When {
    /// At once.
    #[default]
    Now,
    /// Not before this many seconds since the Unix epoch.
    Epoch(u64),
    /// At the next minute that fits; a field without a value fits always.
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

/// A job as it is submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Submission<'a> {
    /// The function that is to run it.
    pub function: &'a [u8],
    /// What tells it from others; `-` stands for the data itself; empty for none.
    pub unique: &'a [u8],
    /// Its priority.
    pub priority: Priority,
    /// Nobody waits for its result.
    pub background: bool,
    /// When it may start.
    pub when: When,
    /// The function that is to reduce its results, of a reduce job.
    pub reducer: Option<&'a [u8]>,
    /// Its data.
    pub data: &'a [u8],
}

/// Why a submission makes no sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invalid {
    /// It submits nothing.
    Kind,
    /// The time is no number, or out of its range.
    Time,
}

impl<'a> Submission<'a> {
    /// A foreground job of ordinary priority.
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

    /// Reads one.
    ///
    /// # Errors
    /// Where the packet submits nothing, or its time makes no sense.
    pub fn read(packet: &Packet<'a>) -> Result<Submission<'a>, Invalid> {
        use Packet as P;
        let plain = |function, unique, data, priority, background| Submission {
            priority,
            background,
            ..Submission::new(function, unique, data)
        };
        Ok(match *packet {
            P::SubmitJob { function, unique, data } => plain(function, unique, data, Priority::Normal, false),
            P::SubmitJobHigh { function, unique, data } => {
                plain(function, unique, data, Priority::High, false)
            }
            P::SubmitJobLow { function, unique, data } => plain(function, unique, data, Priority::Low, false),
            P::SubmitJobBg { function, unique, data } => {
                plain(function, unique, data, Priority::Normal, true)
            }
            P::SubmitJobHighBg { function, unique, data } => {
                plain(function, unique, data, Priority::High, true)
            }
            P::SubmitJobLowBg { function, unique, data } => {
                plain(function, unique, data, Priority::Low, true)
            }
            P::SubmitReduceJob { function, unique, reducer, data } => Submission {
                reducer: Some(reducer),
                ..plain(function, unique, data, Priority::Normal, false)
            },
            P::SubmitReduceJobBackground { function, unique, reducer, data } => {
                Submission { reducer: Some(reducer), ..plain(function, unique, data, Priority::Normal, true) }
            }
            P::SubmitJobEpoch { function, unique, epoch, data } => Submission {
                when: When::Epoch(number(epoch).ok_or(Invalid::Time)?),
                ..plain(function, unique, data, Priority::Normal, true)
            },
            P::SubmitJobSched { function, unique, minute, hour, day, month, weekday, data } => Submission {
                when: When::Sched {
                    minute: field(minute, 0, 59)?,
                    hour: field(hour, 0, 23)?,
                    day: field(day, 1, 31)?,
                    month: field(month, 1, 12)?,
                    weekday: field(weekday, 0, 6)?,
                },
                ..plain(function, unique, data, Priority::Normal, true)
            },
            _ => return Err(Invalid::Kind),
        })
    }

    /// The type that submits it. Jobs with a time or a reducer have no priority, those with a time no foreground.
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

    /// Writes it as a client does.
    pub fn write(&self, out: &mut Vec<u8>) {
        let (kind, f, u, d) = (self.kind(), self.function, self.unique, self.data);
        let mut put = |args: &[&[u8]]| encode(Magic::Req, kind, args, out);
        match (self.when, self.reducer) {
            (When::Epoch(at), _) => put(&[f, u, at.to_string().as_bytes(), d]),
            (When::Sched { minute, hour, day, month, weekday }, _) => {
                let [m, h, y, o, w] = [minute, hour, day, month, weekday]
                    .map(|x| x.map_or_else(String::new, |x| x.to_string()).into_bytes());
                put(&[f, u, &m, &h, &y, &o, &w, d]);
            }
            (When::Now, Some(reducer)) => put(&[f, u, reducer, d]),
            (When::Now, None) => put(&[f, u, d]),
        }
    }
}

/// A field of a set time: empty, `*` or `-1` fit always.
fn field(arg: &[u8], least: u8, most: u8) -> Result<Option<u8>, Invalid> {
    if matches!(arg, b"" | b"*" | b"-1") {
        return Ok(None);
    }
    let n = number(arg).and_then(|n| u8::try_from(n).ok()).filter(|n| (least..=most).contains(n));
    n.map(Some).ok_or(Invalid::Time)
}
