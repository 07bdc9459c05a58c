//! Load reports of upstream hosts.

use roselock::settings::WorkerReport;

/// Parses a load report: JSON, or `TEXT name=value, name=value`, where `TEXT` is optional. Returns `None` for
/// invalid JSON.
pub fn parse_load_report(text: &str) -> Option<WorkerReport> {
    let text = text.trim();
    if text.starts_with('{') {
        return serde_json::from_str(text).ok();
    }
    let text = text.strip_prefix("TEXT").unwrap_or(text);
    let mut report = WorkerReport::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let value = value.trim().parse::<f64>().ok().filter(|value| value.is_finite());
        match name.trim() {
            "x0" => report.x0 = value,
            "x1" => report.x1 = value,
            "util" => report.util = value,
            "latency_ms" => report.latency_ms = value,
            _ => {}
        }
    }
    Some(report)
}
