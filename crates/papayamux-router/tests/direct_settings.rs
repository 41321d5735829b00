//! Settings of a router that sends requests directly to backend servers.
#![allow(clippy::unwrap_used, reason = "helpers of tests, which may panic")]

use std::time::Duration;

use papayamux_coordination::fleet_knowledge::SourceReaders;
use papayamux_router::direct::DirectSettings;
use papayamux_state::capacity_class::CapacityClass;

const COMPLETE: &str = "\
[instance]
name = front-1
failure_domain = hall
[listen]
callers = 10.0.0.1:80
operations = 10.0.0.1:81
ready_path = /-/readiness
metrics = 10.0.0.1:9464
descriptors = 4100
[source]
address = 10.0.0.9:82
[peers]
listen = 10.0.0.1:7340
seeds = 10.0.0.1:83,10.0.0.2:83
[bounds]
grace = 8s
revoke_within = 5000ms
apply_within = 2000ms
drain_within = 2000ms
renewal_every = 1500ms
retry_ratio = 0.2
retry_slack = 56
retry_window = 10s
load_factor = 2
";

#[test]
fn complete_file_is_read() {
    let settings = DirectSettings::read("front.ini", COMPLETE).unwrap();
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.grace, Duration::from_secs(8));
    assert_eq!(settings.fleet.read_bounds().interval(), Duration::from_secs(1));
    assert_eq!(settings.max_callers(), 2_220);
    assert_eq!(settings.fleet.departure_bounds().renewal_interval, Duration::from_millis(1_500));
}

/// Guards against routers that don't start because a bound is a fraction.
#[test]
fn bounds_may_be_fractions() {
    let read =
        |from: &str, to: &str| DirectSettings::read("front.ini", &COMPLETE.replace(from, to));
    let settings = read("grace = 8s", "grace = 7.5s").unwrap();
    assert_eq!(settings.grace, Duration::from_millis(7_500));
    let settings = read("retry_window = 10s", "retry_window = 1e1s").unwrap();
    assert_eq!(settings.fleet.retries.window, Duration::from_secs(10));
    let settings = read("apply_within = 2000ms", "apply_within = 2000.5ms").unwrap();
    assert_eq!(settings.fleet.apply_within, Some(Duration::from_micros(2_000_500)));
    let settings = read("retry_slack = 56", "retry_slack = 5.6e1").unwrap();
    assert_eq!(settings.fleet.retries.slack, 56.0);
}

/// Guards against bounds that no clock can represent, and against factors that switch their limit off.
#[test]
fn figures_out_of_range_are_findings() {
    for (key, value) in [
        ("grace", "-1s"),
        ("grace", "18446744073709551615s"),
        ("revoke_within", "1e22ms"),
        ("revoke_within", "NaNms"),
        ("retry_ratio", "NaN"),
        ("retry_slack", "inf"),
        ("load_factor", "-2"),
        ("load_factor", "1e999"),
    ] {
        let lines = COMPLETE.lines().map(|line| match line.split_once(" = ") {
            Some((name, _)) if name == key => format!("{key} = {value}\n"),
            _ => format!("{line}\n"),
        });
        let findings = DirectSettings::read("front.ini", &lines.collect::<String>()).unwrap_err();
        assert!(findings.to_string().contains(key), "{key} = {value}: {findings}");
    }
}

#[test]
fn operators_may_let_each_router_read_by_itself() {
    let read = |text: &str| DirectSettings::read("front.ini", text);
    assert_eq!(read(COMPLETE).unwrap().fleet.readers, SourceReaders::Few);
    let all = COMPLETE.replace("10.0.0.9:82\n", "10.0.0.9:82\nreaders = all\n");
    assert_eq!(read(&all).unwrap().fleet.readers, SourceReaders::All);
    let findings = read(&all.replace("= all", "= some")).unwrap_err().to_string();
    assert!(findings.contains("use few or all") && findings.contains("front.ini:12"), "{findings}");
}

#[test]
fn processor_share_is_optional_and_above_zero() {
    let read = |share: &str| {
        let text = COMPLETE.replace("= hall\n", &format!("= hall\n{share}"));
        DirectSettings::read("front.ini", &text)
    };
    let capacity = |share: &str| read(share).unwrap().fleet.capacity;
    assert_eq!(capacity(""), CapacityClass::UNKNOWN);
    assert!(capacity("processor_share = 0.19\n") > CapacityClass::UNKNOWN);
    assert!(capacity("processor_share = 0.19\n") < capacity("processor_share = 0.5\n"));
    for malformed in ["0", "-1", "NaN", "inf", "much"] {
        let findings = read(&format!("processor_share = {malformed}\n")).unwrap_err().to_string();
        assert!(findings.contains("processor_share"), "{findings}");
    }
}

#[test]
fn few_descriptors_leave_room_for_one_caller() {
    let text = COMPLETE.replace("descriptors = 4100", "descriptors = 64");
    assert_eq!(DirectSettings::read("front.ini", &text).unwrap().max_callers(), 1);
}

#[test]
fn bounds_may_be_missing() {
    let end = COMPLETE.find("grace").unwrap();
    let settings = DirectSettings::read("front.ini", &COMPLETE[..end]).unwrap();
    assert_eq!(settings.fleet.revoke_within, None);
}

#[test]
fn unknown_keys_and_sections_are_findings_with_their_lines() {
    let text = format!("{COMPLETE}colour = red\n[extra]\n");
    let findings = DirectSettings::read("front.ini", &text).unwrap_err().to_string();
    assert!(findings.contains("[bounds] colour"), "{findings}");
    assert!(findings.contains("[extra]"), "{findings}");
}

#[test]
fn an_experiment_switches_mechanisms_off_by_their_names() {
    let settings = DirectSettings::read("front.ini", COMPLETE).unwrap();
    assert!(settings.fleet.disabled.is_empty());
    let text = format!("{COMPLETE}[experiment]\ndisable = copies, line\n");
    let settings = DirectSettings::read("front.ini", &text).unwrap();
    assert_eq!(settings.fleet.disabled.to_string(), "copies, line");
}

#[test]
fn an_unknown_mechanism_is_a_finding_with_its_line() {
    let text = format!("{COMPLETE}[experiment]\ndisable = copies, luck\n");
    let findings = DirectSettings::read("front.ini", &text).unwrap_err().to_string();
    assert!(findings.contains("front.ini:26: [experiment] disable"), "{findings}");
    assert!(findings.contains("\"luck\" is no mechanism"), "{findings}");
}
