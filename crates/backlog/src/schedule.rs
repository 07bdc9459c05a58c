//! Scheduled times as calendar fields, like those of a cron expression.

use crate::Micros;
use jiff::civil::{Date, date, time};
use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan};

/// A scheduled time by minute, hour, day of the month, month and day of the week. A field without a value matches any
/// value; all fields with a value must match.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CalendarFields {
    /// 0 to 59.
    pub minute: Option<u8>,
    /// 0 to 23.
    pub hour: Option<u8>,
    /// 1 to 31.
    pub day: Option<u8>,
    /// 1 to 12.
    pub month: Option<u8>,
    /// 0 (Monday) to 6.
    pub weekday: Option<u8>,
}

/// Maximum number of days that are searched. The next leap day may be 8 years away, and the next one on a given weekday
/// 40 years.
const MAX_SEARCH_DAYS: usize = 366 * 41;
/// Last year that is searched.
const MAX_SEARCH_YEAR: i16 = 9998;

/// Finds a time zone by its name.
///
/// # Errors
/// The system's time zone database has no time zone of this name.
pub fn time_zone(name: &str) -> Result<TimeZone, jiff::Error> {
    if name == "UTC" {
        return Ok(TimeZone::UTC);
    }
    TimeZone::get(name)
}

impl CalendarFields {
    /// The first minute after `now` at which all fields match, both in microseconds since the Unix epoch. `None` if
    /// there is no such minute, as for 30 February. A local time that is skipped by a daylight saving change does not
    /// match.
    pub fn next(&self, now: Micros, zone: &TimeZone) -> Option<Micros> {
        let now = Timestamp::from_microsecond(now).ok()?;
        let mut day = now.to_zoned(zone.clone()).date();
        for _ in 0..MAX_SEARCH_DAYS {
            if self.matches_day(day)
                && let Some(time) = self.first_match_on_day(day, now, zone)
            {
                return Some(time.as_microsecond());
            }
            day = self.next_candidate_day(day)?;
        }
        None
    }

    /// The next day that may match; other months are skipped.
    fn next_candidate_day(&self, day: Date) -> Option<Date> {
        match self.month {
            Some(month) if month as i8 != day.month() => {
                let is_later = month as i8 > day.month();
                let year = if is_later { day.year() } else { day.year().checked_add(1)? };
                (year <= MAX_SEARCH_YEAR).then(|| date(year, month as i8, 1))
            }
            _ => day.checked_add(1.day()).ok(),
        }
    }

    fn matches_day(&self, day: Date) -> bool {
        let matches = |field: Option<u8>, value: i8| field.is_none_or(|wanted| wanted as i8 == value);
        matches(self.day, day.day())
            && matches(self.month, day.month())
            && matches(self.weekday, day.weekday().to_monday_zero_offset())
    }

    /// The first matching minute of a day after `now`.
    fn first_match_on_day(&self, day: Date, now: Timestamp, zone: &TimeZone) -> Option<Timestamp> {
        let candidates = |field: Option<u8>, max: i8| match field {
            Some(value) => value as i8..=value as i8,
            None => 0..=max,
        };
        for hour in candidates(self.hour, 23) {
            for minute in candidates(self.minute, 59) {
                let wanted = day.to_datetime(time(hour, minute, 0, 0));
                let Ok(zoned) = zone.to_ambiguous_zoned(wanted).compatible() else { continue };
                // `compatible` shifts a local time that is skipped by a daylight saving change.
                if zoned.datetime() == wanted && zoned.timestamp() > now {
                    return Some(zoned.timestamp());
                }
            }
        }
        None
    }
}
