//! No part of a file is ignored silently, and each finding has the right line number.

use papayamux_settings::IniFile;

fn finding_locations(text: &str) -> Vec<(usize, String)> {
    let read = IniFile::parse("file", text).and_then(|file| file.finish(|| Some(())));
    let findings = read.err().unwrap_or_default();
    findings.0.into_iter().map(|finding| (finding.line, finding.place)).collect()
}

#[test]
fn lines_that_only_the_library_sees_are_reported() {
    assert_eq!(finding_locations("[a]\nb = 1\r[c]\nd = 2\n")[0], (1, "[c]".to_string()));
    assert_eq!(finding_locations("[a]\nb = 1\rb = 2\n"), [(1, "[a] b".to_string())]);
    assert_eq!(finding_locations("[a] b = 1\n"), [(1, "[a] b".to_string())]);
}

#[test]
fn a_section_repeated_behind_a_bare_carriage_return_is_reported() {
    let text = "[team]\nname = kiosk\r[team]\nweights=w[model m]\n";
    assert_eq!(finding_locations(text), [(1, "[team]".to_string())]);
}

#[test]
fn lines_that_only_the_scan_sees_are_reported() {
    assert_eq!(finding_locations("[a]\nb = \"1\nc = 2\"\n"), [(3, "[a] c".to_string())]);
}

#[test]
fn findings_are_bounded() {
    let text: String = (0..5_000).map(|_| "[a]\n").collect();
    assert_eq!(finding_locations(&text).len(), 1_000);
}

#[test]
fn windows_line_ends_and_comments_are_no_findings() {
    let file = IniFile::parse("file", "; note\r\n[a]\r\n# note\r\nb = 1\r\n").unwrap();
    assert_eq!(file.section("a").required::<u32>("b"), Some(1));
    assert_eq!(file.section_line("a"), 2);
    assert!(file.finish(|| Some(())).is_ok());
}
