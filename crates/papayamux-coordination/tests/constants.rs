//! Constants of decisions on the direct path that are not learnt at run time. Each needs a comment
//! with its reason.
#![allow(clippy::unwrap_used, reason = "helpers of tests, which may panic")]

use std::path::{Path, PathBuf};

use insta::assert_snapshot;

/// Files with decisions on the direct path, besides those in folders.
const FILES: [&str; 14] = [
    "late_delivery.rs",
    "link_delays.rs",
    "part_prefills.rs",
    "retry_delay.rs",
    "server_slots.rs",
    "server_liveness.rs",
    "failure_rates.rs",
    "usual_deadline.rs",
    "recent_departures.rs",
    "cache_survey.rs",
    "part_owners.rs",
    "source_polling.rs",
    "server_notices.rs",
    "service_retry_budget.rs",
];
/// Folders with decisions on the direct path.
const FOLDERS: [&str; 9] = [
    "placement",
    "server_profile",
    "service_queue",
    "fleet_knowledge",
    "cold_servers",
    "crash_quarantine",
    "shared_queue",
    "server_slowdown",
    "retry_benefit",
];

fn sources() -> Vec<PathBuf> {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut paths: Vec<_> = FILES.iter().map(|file| source.join(file)).collect();
    for folder in FOLDERS {
        let entries = std::fs::read_dir(source.join(folder)).unwrap();
        paths.extend(entries.map(|entry| entry.unwrap().path()));
    }
    paths.sort();
    paths
}

/// Returns the constants of a file, each with whether it has a doc comment.
fn constants(text: &str) -> Vec<(String, bool)> {
    let lines: Vec<_> = text.lines().collect();
    let declared = lines.iter().enumerate().filter(|(_, line)| {
        let line = line
            .trim_start_matches("pub(crate) ")
            .trim_start_matches("pub(super) ")
            .trim_start_matches("pub ");
        line.starts_with("const ") && !line.starts_with("const fn")
    });
    let named = declared.map(|(index, line)| {
        let rest = line.split_once("const ").unwrap().1;
        let whole = rest.trim_end_matches(';').to_string();
        (whole, index > 0 && lines[index - 1].trim_start().starts_with("///"))
    });
    named.collect()
}

#[test]
fn figures_that_are_not_learnt_are_few_and_explained() {
    let mut list = String::new();
    for path in sources() {
        let text = std::fs::read_to_string(&path).unwrap();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        for (constant, is_explained) in constants(&text) {
            assert!(is_explained, "{name}: {constant} has no comment");
            list.push_str(&format!("{name}: {constant}\n"));
        }
    }
    // Every new constant appears in this list. A value that servers show anyway belongs in their
    // profile.
    assert_snapshot!(list);
}
