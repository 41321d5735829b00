//! Runs one case of the review: `standins CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case couldn't run. With `TROUBLE=0` in the environment the disruption is left out.

mod deployment;
mod http;
mod proxy;
mod record;
mod router;
mod runner;
mod silent_connections;
mod spliced_stream;
mod store;
mod stray_answer;

use std::process::ExitCode;

use record::Record;

/// What a case has shown.
pub struct Outcome {
    /// Each breach of the rule.
    pub breaches: Vec<String>,
    /// Why the case says nothing, if so.
    pub void: Option<String>,
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let outcome = match case.as_str() {
        "stray-answer" => stray_answer::run(&record, has_trouble),
        "silent-connections" => silent_connections::run(&record, has_trouble),
        "spliced-stream" => spliced_stream::run(&record, has_trouble),
        _ => Err(std::io::Error::other(format!("no case {case}"))),
    };
    let outcome = outcome.unwrap_or_else(|error| Outcome {
        breaches: Vec::new(),
        void: Some(format!("the case couldn't run: {error}")),
    });
    for breach in &outcome.breaches {
        record.add(format!("BROKEN {breach}"));
    }
    let code = match (&outcome.void, outcome.breaches.len()) {
        (_, count) if count > 0 => 1,
        (Some(_), _) => 2,
        (None, _) => 0,
    };
    if let Some(void) = &outcome.void {
        record.add(void);
    }
    record.add(format!("{} breaches, exit code {code}", outcome.breaches.len()));
    if let Err(error) = record.write(path) {
        eprintln!("{path}: {error}");
        return ExitCode::from(2);
    }
    println!("{case}: {} breaches, exit code {code}", outcome.breaches.len());
    ExitCode::from(code)
}
