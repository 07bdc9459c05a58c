//! The next time that matches calendar fields.

use jiff::Timestamp;
use jiff::tz::TimeZone;
use roselock_backlog::{CalendarFields, Micros};
use rstest::rstest;

fn micros(text: &str) -> Micros {
    text.parse::<Timestamp>().expect("a valid timestamp").as_microsecond()
}

#[rstest]
#[case(None, None, None, None, None, "2026-12-01T12:49:00Z", "2026-12-01T12:50:00Z")]
#[case(Some(0), None, None, None, None, "2026-12-01T12:49:00Z", "2026-12-01T13:00:00Z")]
#[case(Some(30), Some(1), None, None, None, "2026-12-01T12:49:00Z", "2026-12-02T01:30:00Z")]
#[case(None, None, Some(31), None, None, "2026-11-30T23:59:30Z", "2026-12-31T00:00:00Z")]
#[case(None, None, Some(29), Some(2), None, "2026-12-01T00:00:00Z", "2028-02-29T00:00:00Z")]
#[case(Some(5), Some(0), None, None, Some(0), "2026-12-01T00:00:00Z", "2026-12-07T00:05:00Z")]
#[case(Some(49), Some(12), None, None, None, "2026-12-01T12:49:00Z", "2026-12-02T12:49:00Z")]
fn next_returns_the_first_matching_minute(
    #[case] minute: Option<u8>,
    #[case] hour: Option<u8>,
    #[case] day: Option<u8>,
    #[case] month: Option<u8>,
    #[case] weekday: Option<u8>,
    #[case] now: &str,
    #[case] expected: &str,
) {
    let fields = CalendarFields { minute, hour, day, month, weekday };
    assert_eq!(fields.next(micros(now), &TimeZone::UTC), Some(micros(expected)));
}

#[test]
fn a_date_that_does_not_exist_never_matches() {
    let fields = CalendarFields { day: Some(30), month: Some(2), ..CalendarFields::default() };
    assert_eq!(fields.next(micros("2026-12-01T00:00:00Z"), &TimeZone::UTC), None);
}
