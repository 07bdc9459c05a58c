//! The figures of `METRICS`.

use roselock_admin::metrics::{End, Figures};
use roselock_discovery_client::startup_stage::Start;

#[test]
fn what_is_counted_is_shown_by_class() {
    let figures = Figures::new(vec!["look".into(), "pay".into()]);
    (0..3).for_each(|_| figures.taken());
    figures.ended(0, End::Answered, true);
    figures.ended(1, End::Deferred, true);
    figures.ended(1, End::Errored, false);
    figures.sent(1);
    figures.sent(1);
    figures.sent(7);
    figures.cluster(5, 2);
    assert_eq!((figures.spoilt_list(), figures.spoilt_list()), (1, 2));
    let mut start = Start::begin(0, true);
    start.called();
    let first = start.told(1_500_000);
    figures.start(&start, first);
    let shown: serde_json::Value = serde_json::from_str(&figures.render()).unwrap();
    let want = serde_json::json!({
        "transactions": {
            "look": {"answered": 1, "deferred": 0, "errored": 0, "sends": 0},
            "pay": {"answered": 0, "deferred": 1, "errored": 1, "sends": 2},
        },
        "sends": 2, "current": 1, "cluster_size": 5, "cluster_unhealthy": 2, "lists_spoilt": 2,
        "start": {"stage": "list confirmed", "list_calls": 1, "list_calls_failed": 0, "confirmed_after_s": 1.5},
    });
    assert_eq!(shown, want);
}
