//! Validation of the settings.

mod common;
use common::*;
use roselock::*;

#[test]
fn settings_out_of_range_are_rejected_by_key() {
    type Change = fn(&mut Settings);
    let out_of_range: [(&str, Change); 9] = [
        ("fleetSize", |s| s.fleet_size = 0),
        ("lanes", |s| s.classes.clear()),
        ("tickS", |s| s.tick = 0),
        ("overShareWorth", |s| s.over_quota_weight = 1.5),
        ("limits.sendCap", |s| s.limits.max_attempts = 0),
        ("costs.handshake", |s| s.costs.handshake = f64::NAN),
        ("safety.coldS", |s| s.safety.slow_start_window = -1),
        ("lanes[2].worth", |s| s.classes[2].priority_weight = -1.0),
        ("parties[0].quotaPerS", |s| s.tenants = vec![Tenant { quota_per_s: f64::INFINITY }]),
    ];
    assert_eq!(settings().check(), Ok(()));
    for (field, change) in out_of_range {
        let mut settings = settings();
        change(&mut settings);
        let error = Dispatcher::new(settings, 1).err().expect("rejected");
        assert_eq!(error.field, field);
        assert!(error.to_string().starts_with(field), "{error}");
    }
}
