//! The scripts of the second review: `review-2 CASE FOLDER`, started in the repository's root.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod config;
mod config_storm;
mod deployment;
mod foreign_entry;
mod http;
mod long_key;
mod record;
mod router;
mod runner;
mod store;

use std::path::{Path, PathBuf};

/// Ends with the exit code of a case that couldn't run.
pub fn cannot_run(cause: &str) -> ! {
    eprintln!("the case can't run: {cause}");
    std::process::exit(2);
}

/// The text of a client's request without a body.
pub fn request(method: &str, path: &str, id: &str, key: Option<&str>, deadline_ms: u64) -> String {
    let key = key.map(|key| format!("X-Api-Key: {key}\r\n")).unwrap_or_default();
    let length = if method == "GET" { "" } else { "Content-Length: 0\r\n" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {id}\r\n\
         Deadline-Milliseconds: {deadline_ms}\r\n{key}{length}\r\n",
        config::HOST
    )
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        cannot_run("usage: review-2 CASE FOLDER");
    };
    let case: fn(&Path, &Path, bool) -> bool = match case.as_str() {
        "foreign-entry" => foreign_entry::run,
        "long-key" => long_key::run,
        "config-storm" => config_storm::run,
        other => cannot_run(&format!("no case {other:?}")),
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let scratch = std::env::temp_dir().join(format!("papayamux-review-2-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&scratch) {
        cannot_run(&format!("{}: {error}", scratch.display()));
    }
    // A stand-in that fails says nothing about the router.
    let run = std::panic::catch_unwind(|| case(&PathBuf::from(&folder), &scratch, trouble));
    let _ = std::fs::remove_dir_all(&scratch);
    std::process::exit(match run {
        Ok(false) => 0,
        Ok(true) => 1,
        Err(_) => 2,
    });
}
