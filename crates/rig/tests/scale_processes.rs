//! Tests of `roselock-rig scale` with real dispatchers, mostly at small sizes. Only counts are checked.

use roselock_rig::run::default_program;
use roselock_rig::scale::figure::Figure;
use roselock_rig::scale::report::{Outcome, Report};
use rstest::rstest;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Path of the program under test. A test run of the whole workspace has built it; one of this package alone may not have.
fn program() -> PathBuf {
    let rig = Path::new(env!("CARGO_BIN_EXE_roselock-rig"));
    let program = default_program(rig);
    if !program.is_file() {
        let target = rig.parent().and_then(Path::parent).expect("the target folder");
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--locked", "-p", "roselock-dispatcher", "--bin", "roselock", "--target-dir"]);
        assert!(build.arg(target).status().expect("cargo").success(), "the program was not built");
    }
    program
}

/// The contents of the command's output files.
struct Measurement {
    report: Report,
    chart: String,
}

fn measured(arguments: &[&str]) -> Measurement {
    let folder = tempfile::tempdir().expect("a folder");
    let (json, svg) = (folder.path().join("figures.json"), folder.path().join("chart.svg"));
    let mut command = Command::new(env!("CARGO_BIN_EXE_roselock-rig"));
    command.arg("scale").args(arguments).arg("--program").arg(program());
    let output = command.arg("--json").arg(&json).arg("--svg").arg(&svg).output().expect("it runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let chart = std::fs::read_to_string(svg).expect("a chart");
    let figures = std::fs::read_to_string(json).expect("figures");
    Measurement { report: serde_json::from_str(&figures).expect("figures that can be read"), chart }
}

/// Guards against figures that differ from the actual traffic: the size of the list is measured exactly.
#[rstest]
fn dispatchers_receive_exactly_the_bytes_of_the_list() {
    let Measurement { report, chart } = measured(&[
        "--workers",
        "40,400",
        "--dispatchers",
        "2",
        "--seconds",
        "0.5",
        "--requests-per-s",
        "40",
        "--changes-per-s",
        "8",
        "--move",
        "--restart",
    ]);
    let values = |figure: Figure| -> Vec<f64> { report.points(figure).iter().map(|p| p.value).collect() };
    let first = values(Figure::FirstListBytes);
    assert_eq!(first.len(), 2, "{report:?}");
    for (row, first) in report.rows.iter().zip(&first) {
        let framing = first - row.list_bytes as f64;
        assert!(
            (0.0..=64.0).contains(&framing),
            "{framing} bytes of framing for a list of {}",
            row.list_bytes
        );
        let Outcome::Measured { requests, faults, .. } = &row.outcome else { panic!("{row:?}") };
        assert!(faults.is_empty(), "{faults:?}");
        assert_eq!(requests.sent() + requests.not_sent, 2 * 20, "{requests:?}");
        assert!(requests.served > 0, "{requests:?}");
    }
    assert_eq!(first[1] - first[0], (report.rows[1].list_bytes - report.rows[0].list_bytes) as f64);
    assert!(chart.starts_with("<svg") && chart.contains(Figure::FirstListBytes.label()), "{chart}");
    for figure in [Figure::ChangeBytes, Figure::CallBytes] {
        let values = values(figure);
        assert!(values[0] > 0.0 && values[0] == values[1], "{figure:?}: {values:?}");
    }
    // After a move only changes are sent, whatever the length of the list. After a restart the entire list is sent, as a
    // killed dispatcher has no cached list.
    let moved = values(Figure::MoveBytes);
    assert!(
        moved[0] > 0.0 && moved.iter().zip(&first).all(|(again, first)| again < &(first / 4.0)),
        "{report:?}"
    );
    assert!(
        values(Figure::RestartBytes).iter().zip(&first).all(|(again, first)| again >= first),
        "{report:?}"
    );
    assert!(values(Figure::ResidentAtRest).iter().all(|kib| *kib > 0.0), "{report:?}");
}

/// Dispatchers reject a list over 4 MiB: the row records the rejection, and the measurement does not fail.
#[rstest]
fn list_over_4_mib_is_reported_as_rejected() {
    let Measurement { report, chart } =
        measured(&["--workers", "36500", "--dispatchers", "1", "--seconds", "0.5"]);
    let [row] = &report.rows[..] else { panic!("{report:?}") };
    assert!(row.list_bytes > 4 << 20, "{} bytes", row.list_bytes);
    let Outcome::Refused { reason } = &row.outcome else { panic!("{row:?}") };
    assert!(reason.contains("did not accept a list of") && reason.contains("413"), "{reason}");
    assert!(report.fits.is_empty(), "{report:?}");
    assert!(chart.contains("no size was measured"), "{chart}");
}

/// Regression: after a move, dispatchers polled the entire list in a plain call, whose body was limited to 64 KiB, so a
/// dispatcher with more than about 550 workers never followed.
#[rstest]
fn dispatchers_follow_a_moved_list_service_with_700_workers() {
    let arguments = ["--workers", "700", "--dispatchers", "1", "--seconds", "0.2", "--move"];
    let Measurement { report, .. } = measured(&arguments);
    let [row] = &report.rows[..] else { panic!("{report:?}") };
    let Outcome::Measured { faults, .. } = &row.outcome else { panic!("{row:?}") };
    assert!(faults.is_empty(), "{faults:?}");
    assert!(
        row.value(Figure::MoveBytes) < row.value(Figure::FirstListBytes).map(|bytes| bytes / 50.0),
        "{row:?}"
    );
}
