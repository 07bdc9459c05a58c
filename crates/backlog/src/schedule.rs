//! Set times by the fields of a calendar.

use crate::Micros;
use jiff::civil::{Date, date, time};
use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan};

/// A time by minute, hour, day of the month, month and day of the week (0 is Monday); a field without a value fits
/// always, and all that have one must fit.
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
    /// 0 to 6.
    pub weekday: Option<u8>,
}

/// Days that are looked at: a leap day may be eight years off, and on one weekday forty.
const HORIZON: usize = 366 * 41;

/// A time zone by its name.
///
/// # Errors
/// Where the machine knows none of that name.
pub fn time_zone(name: &str) -> Result<TimeZone, String> {
    if name == "UTC" {
        return Ok(TimeZone::UTC);
    }
    TimeZone::get(name).map_err(|e| e.to_string())
}

impl CalendarFields {
    /// The first minute after a time at which all fields fit, in microseconds since the Unix epoch; none if there is
    /// none, as on the 30th of February. A time that a change of the clocks leaves out is passed over.
    pub fn next(&self, wall: Micros, zone: &TimeZone) -> Option<Micros> {
        let now = Timestamp::from_microsecond(wall).ok()?;
        let mut day = now.to_zoned(zone.clone()).date();
        for _ in 0..HORIZON {
            if self.fits_day(day)
                && let Some(at) = self.on(day, now, zone)
            {
                return Some(at.as_microsecond());
            }
            day = self.skip(day)?;
        }
        None
    }

    /// The next day worth a look.
    fn skip(&self, day: Date) -> Option<Date> {
        match self.month {
            Some(m) if m as i8 != day.month() => {
                let year = if (m as i8) > day.month() { day.year() } else { day.year().checked_add(1)? };
                (year <= 9998).then(|| date(year, m as i8, 1))
            }
            _ => day.checked_add(1.day()).ok(),
        }
    }

    fn fits_day(&self, day: Date) -> bool {
        let fits = |field: Option<u8>, value: i8| field.is_none_or(|f| f as i8 == value);
        fits(self.day, day.day())
            && fits(self.month, day.month())
            && fits(self.weekday, day.weekday().to_monday_zero_offset())
    }

    fn on(&self, day: Date, now: Timestamp, zone: &TimeZone) -> Option<Timestamp> {
        let all = |field: Option<u8>, most: i8| match field {
            Some(f) => f as i8..=f as i8,
            None => 0..=most,
        };
        for hour in all(self.hour, 23) {
            for minute in all(self.minute, 59) {
                let at = day.to_datetime(time(hour, minute, 0, 0));
                let Ok(zoned) = zone.to_ambiguous_zoned(at).compatible() else { continue };
                // Left out by a change of the clocks: it would be moved.
                if zoned.datetime() == at && zoned.timestamp() > now {
                    return Some(zoned.timestamp());
                }
            }
        }
        None
    }
}
