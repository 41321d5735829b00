//! The output and the exit codes of the command.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use insta::assert_snapshot;
use papayamux_command::{run_command, CommandOutput, ExitMeaning};

const GOOD: &str = "tests/declarations/owners.ini tests/declarations/caverns.ini";
const ALL: &str =
    "tests/declarations/owners.ini tests/declarations/caverns.ini tests/declarations/kiosk.ini";

/// Runs the command with space-separated arguments; `_` stands for a space within an argument.
fn run(arguments: &str) -> CommandOutput {
    run_command(arguments.split_whitespace().map(|argument| argument.replace('_', " ")))
}

#[test]
fn help_has_examples() {
    let output = run("--help");
    assert_eq!(output.exit, ExitMeaning::Clean);
    assert_snapshot!(output.text);
}

#[test]
fn clean_files_exit_with_0() {
    let output = run(&format!("check {GOOD}"));
    assert_eq!(output.exit.code(), 0);
    assert_snapshot!(output.text);
}

#[test]
fn all_findings_of_a_file_are_reported() {
    let output = run("check tests/declarations/broken.ini");
    assert_eq!(output.exit.code(), 1);
    assert_snapshot!(output.text);
}

#[test]
fn conflicts_between_files_are_findings() {
    let output = run(&format!("check {ALL}"));
    assert_eq!(output.exit.code(), 1);
    assert_snapshot!(output.text);
    assert_snapshot!(run(&format!("check --json {ALL}")).text);
}

#[test]
fn an_explanation_names_file_revision_and_line() {
    let questions = "--item model_itinerary --organisation kiosk/visitors --adapter kiosk/refunds \
                     --server engine-1 --path /tickets/7 --path /gate --method POST --model nowhere";
    let output = run(&format!("explain {ALL} {questions}"));
    assert_eq!(output.exit.code(), 1, "a queried item is not in force");
    assert_snapshot!(output.text);
    assert_snapshot!(run(&format!("explain --json {ALL} --model itinerary")).text);
}

#[test]
fn a_refused_revision_leaves_the_older_one_in_force() {
    let folder = std::env::temp_dir().join(format!("papayamux-command-{}", std::process::id()));
    let write = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::create_dir_all(&folder)?;
        std::fs::write(&path, text)?;
        std::io::Result::Ok(path.display().to_string())
    };
    let text = "[team]\nname = tours\n[organisation tours/guides]\nshare = 10%\n";
    let good = write("tours.ini", text).unwrap();
    let bad = write("tours", "[team]\nname = tours\n[organisation tours/guides]\nshare = ten\n");
    let bad = bad.unwrap();
    let arguments =
        ["explain", &format!("{bad}@42"), &format!("{good}@41"), "--organisation", "tours/guides"];
    let output = run_command(arguments.iter().map(ToString::to_string));
    assert_eq!(output.exit.code(), 0);
    assert_snapshot!(output.text);
    let again = run_command(["check", &good, &format!("{bad}@1")].iter().map(ToString::to_string));
    assert!(again.errors.contains("tours@1 is given already"), "{}", again.errors);
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn invalid_command_lines_exit_with_2() {
    let lines = [
        "",
        "chek x",
        "check",
        "check nowhere.ini",
        "check Bad.ini",
        "check x --item model_m",
        "explain x",
        "explain x --item model",
        "explain x --method POST --model m",
        "status",
        "status localhost",
        "check --fast",
    ];
    let mut errors = String::new();
    for line in lines {
        let output = run(line);
        assert_eq!((output.exit.code(), output.text.as_str()), (2, ""), "{line}");
        errors.push_str(&output.errors);
    }
    assert_snapshot!(errors);
}

/// Starts an operators' port that answers one request.
fn operators_port(head: &'static str, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| unreachable!("{error}"));
    let address = listener.local_addr().unwrap_or_else(|error| unreachable!("{error}"));
    thread::spawn(move || {
        let (mut stream, _) = listener.accept()?;
        let mut request = Vec::new();
        let mut piece = [0; 1024];
        while !request.ends_with(b"\r\n\r\n") {
            let length = stream.read(&mut piece)?;
            request.extend_from_slice(&piece[..length]);
        }
        let length = body.len();
        write!(stream, "HTTP/1.1 {head}\r\ncontent-length: {length}\r\n\r\n{body}")
    });
    address
}

#[test]
fn a_status_table_lists_failed_processes_below() {
    let body = r#"{"program":"papayamux-router","ready":true,"failure_domain":"south-1",
        "incarnation":"0123456789abcdef","configuration":{"digest":"00000000000000aa"}}"#;
    let router = operators_port("200 OK", body);
    let stranger = operators_port("404 Not Found", "{}");
    let arguments = ["status".to_string(), router.to_string(), stranger.to_string()];
    let output = run_command(arguments.into_iter());
    assert_eq!(output.exit.code(), 1);
    let text = output.text.replace(&router.to_string(), "127.0.0.1:10001");
    assert_snapshot!(text.replace(&stranger.to_string(), "127.0.0.1:10002"));
}

#[test]
fn status_prints_json_on_request() {
    let router = operators_port("200 OK", r#"{"program":"papayamux-router"}"#);
    let arguments = ["status".to_string(), router.to_string(), "--json".to_string()];
    let output = run_command(arguments.into_iter());
    assert_eq!(output.exit.code(), 0);
    assert_snapshot!(output.text.replace(&router.to_string(), "127.0.0.1:10001"));
}

#[test]
fn a_trace_shows_a_requests_lines_with_the_routers_state_changes() {
    let folder = tempfile::tempdir().unwrap();
    let log = folder.path().join("router.log");
    let lines = [
        r#"{"time_ms":1000,"level":"info","message":"configuration in force","version":"4"}"#,
        r#"{"time_ms":9000,"level":"warn","message":"source lost","error":"status 503"}"#,
        r#"collected {"time_ms":9900,"message":"attempt brought no answer","request":"ab","loss":"Unknown","server":"i-1"}"#,
        r#"{"time_ms":9901,"message":"answer passed on","request":"other","server":"i-2"}"#,
        r#"{"time_ms":9950,"message":"request refused","request":"ab","outcome":"unknown_outcome"}"#,
        "not a log line",
    ];
    std::fs::write(&log, lines.join("\n")).unwrap();
    let output = run(&format!("trace ab {}", log.display()));
    assert_eq!(output.exit, ExitMeaning::Clean);
    let folder_name = folder.path().display().to_string();
    assert_snapshot!(output.text.replace(&folder_name, "FOLDER"));
    let unknown = run(&format!("trace cd {}", log.display()));
    assert_eq!(unknown.exit, ExitMeaning::Findings);
}

/// Returns a router's log line on a prompt: the time its answer began, the time since it was sent, the
/// engine, and the knowledge of the router.
fn prompt_line(router: &str, at: [u64; 2], shared: &str, server: &str, rest: &str) -> String {
    let [time, sent] = at;
    format!(
        r#"{router} {{"time_ms":{time},"message":"answer passed on","sent_ms":{sent},"shared":"{shared}","server":"{server}",{rest}}}"#
    )
}

#[test]
fn each_prefill_of_a_shared_part_has_one_cause() {
    let folder = tempfile::tempdir().unwrap();
    let log = folder.path().join("routers.log");
    let nothing = r#""known":0,"home":false,"copied_from":"""#;
    let home = r#""known":0,"home":true,"copied_from":"""#;
    let lines = [
        r#"r1 {"time_ms":100,"message":"router started"}"#.to_string(),
        // The first prefill, a concurrent one at the same engine, and a concurrent one at another engine.
        prompt_line("r1", [20_300, 300], "a1:1000", "i-1", nothing),
        prompt_line("r2", [20_310, 200], "a1:1000", "i-1", nothing),
        prompt_line("r2", [20_320, 250], "a1:1000", "i-2", nothing),
        // The engine holds the part by now.
        prompt_line("r1", [21_000, 20], "a1:1000", "i-1", nothing),
        // Holder not known (two ages), home without the part, source without it, known but not copied.
        prompt_line("r1", [21_200, 30], "a1:1000", "i-3", nothing),
        prompt_line("r1", [29_000, 30], "a1:1000", "i-4", nothing),
        prompt_line("r1", [29_100, 30], "a1:1000", "i-5", home),
        prompt_line(
            "r1",
            [29_200, 30],
            "a1:1000",
            "i-6",
            r#""known":0,"home":false,"copied_from":"i-9""#,
        ),
        prompt_line(
            "r1",
            [29_300, 30],
            "a1:1000",
            "i-7",
            r#""known":1000,"home":false,"copied_from":"""#,
        ),
        // Copied from an engine that holds it.
        prompt_line(
            "r1",
            [29_400, 30],
            "a1:1000",
            "i-8",
            r#""known":1000,"home":false,"copied_from":"i-1""#,
        ),
        // A router that has just started.
        r#"r3 {"time_ms":30000,"message":"router started"}"#.to_string(),
        prompt_line("r3", [30_500, 30], "a1:1000", "i-10", home),
    ];
    std::fs::write(&log, lines.join("\n")).unwrap();
    let output = run(&format!("rereads {}", log.display()));
    assert_eq!(output.exit, ExitMeaning::Clean);
    assert_snapshot!(output.text);
    // An engine that keeps 1,500 tokens evicts the second part in favour of the others, then the first.
    let lines = [
        prompt_line("r1", [20_000, 30], "a1:1000", "i-1", nothing),
        prompt_line("r1", [20_100, 30], "a1:1000", "i-2", nothing),
        prompt_line("r1", [21_000, 30], "b2:1000", "i-1", nothing),
        prompt_line("r1", [22_000, 30], "a1:1000", "i-1", nothing),
        prompt_line("r1", [23_000, 30], "c3:1000", "i-1", nothing),
        prompt_line("r1", [24_000, 30], "b2:1000", "i-1", nothing),
        prompt_line("r1", [25_000, 30], "d4:1000", "i-1", nothing),
        prompt_line("r1", [26_000, 30], "a1:1000", "i-1", nothing),
    ];
    std::fs::write(&log, lines.join("\n")).unwrap();
    let evicted = |capacity: &str| {
        let output = run(&format!("rereads --capacity {capacity} {}", log.display()));
        assert_eq!(output.exit, ExitMeaning::Clean, "{}", output.errors);
        output.text.lines().find(|line| line.starts_with("evicted")).map(str::to_string)
    };
    assert_eq!(evicted("1500").unwrap().split_whitespace().last(), Some("2000"));
    assert_eq!(evicted("9000"), None);
    assert_eq!(run(&format!("rereads --capacity few {}", log.display())).exit, ExitMeaning::Usage);
    std::fs::write(&log, "no prompts here").unwrap();
    let output = run(&format!("rereads {}", log.display()));
    assert_eq!(output.exit, ExitMeaning::Findings);
}
