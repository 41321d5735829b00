//! `papayamux status`: a table of the status of processes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Request, StatusCode};
use papayamux_transport::http::{HttpClient, HttpClientError};
use papayamux_transport::runtime;
use serde::Serialize;
use serde_json::Value;
use thiserror::Error;

use crate::output::{CommandOutput, ExitMeaning};
use crate::wire::to_json;

/// Maximum size of a status in bytes.
const MAX_STATUS_BYTES: u64 = 1024 * 1024;
/// Time limit for the answer of one process.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of concurrent status requests.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// The columns after the address: title, and JSON pointer into the status.
const COLUMNS: [(&str, &str); 7] = [
    ("PROGRAM", "/program"),
    ("DOMAIN", "/failure_domain"),
    ("SERVER", "/server"),
    ("READY", "/ready"),
    ("LEAVING", "/leaving"),
    ("INCARNATION", "/incarnation"),
    ("CONFIGURATION", "/configuration/digest"),
];

/// The error of fetching the status of a process.
#[derive(Debug, Error)]
enum StatusError {
    #[error(transparent)]
    Client(#[from] HttpClientError),
    #[error("no answer within {} seconds", ANSWER_TIMEOUT.as_secs())]
    TimedOut,
    #[error("the answer's status is {0}")]
    Refused(StatusCode),
    #[error("the answer is no JSON: {0}")]
    InvalidJson(#[from] serde_json::Error),
    #[error(transparent)]
    Request(#[from] http::Error),
}

/// The status of a process, or the error, for `--json`.
#[derive(Debug, Serialize)]
struct StatusWire {
    address: SocketAddr,
    status: Option<Value>,
    error: Option<String>,
}

/// Fetches and prints the status from the operators' ports at `addresses`.
pub fn show_status(addresses: &[SocketAddr], json: bool) -> CommandOutput {
    let answers = match runtime::run(fetch_all(addresses)) {
        Ok(answers) => answers,
        Err(error) => return CommandOutput::usage(&error),
    };
    let all = answers.iter().all(|answer| answer.status.is_some());
    let exit = if all { ExitMeaning::Clean } else { ExitMeaning::Findings };
    let text = if json { to_json(&answers) } else { table(&answers) };
    CommandOutput::new(exit, text)
}

async fn fetch_all(addresses: &[SocketAddr]) -> Vec<StatusWire> {
    let mut answers = Vec::new();
    for group in addresses.chunks(MAX_CONCURRENT_REQUESTS) {
        let fetches: Vec<_> =
            group.iter().map(|address| monoio::spawn(fetch_with_timeout(*address))).collect();
        for answer in fetches {
            answers.push(answer.await);
        }
    }
    answers
}

async fn fetch_with_timeout(address: SocketAddr) -> StatusWire {
    let outcome = match monoio::time::timeout(ANSWER_TIMEOUT, fetch_status(address)).await {
        Ok(outcome) => outcome,
        Err(_) => Err(StatusError::TimedOut),
    };
    match outcome {
        Ok(status) => StatusWire { address, status: Some(status), error: None },
        Err(error) => StatusWire { address, status: None, error: Some(error.to_string()) },
    }
}

async fn fetch_status(address: SocketAddr) -> Result<Value, StatusError> {
    let request = Request::get("/status").header(HOST, address.to_string()).body(Bytes::new())?;
    let answer = HttpClient::new(address).send_once(request).await?;
    let status = answer.head.status;
    if status != StatusCode::OK {
        return Err(StatusError::Refused(status));
    }
    let body = answer.read_body(MAX_STATUS_BYTES).await?;
    Ok(serde_json::from_slice(&body)?)
}

fn table(answers: &[StatusWire]) -> String {
    let titles = std::iter::once("ADDRESS").chain(COLUMNS.map(|(title, _)| title));
    let mut rows = vec![titles.map(str::to_string).collect::<Vec<_>>()];
    rows.extend(answers.iter().map(row));
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.len()).max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..columns).map(width).collect();
    let mut text: String = rows.iter().map(|row| line(row, &widths)).collect();
    for answer in answers {
        if let Some(error) = &answer.error {
            text.push_str(&format!("{}: {error}\n", answer.address));
        }
    }
    text
}

fn row(answer: &StatusWire) -> Vec<String> {
    let mut cells = vec![answer.address.to_string()];
    cells.extend(COLUMNS.map(|(_, path)| match &answer.status {
        Some(status) => cell(status.pointer(path)),
        None => "?".to_string(),
    }));
    cells
}

fn cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".to_string(),
        Some(Value::Bool(true)) => "yes".to_string(),
        Some(Value::Bool(false)) => "no".to_string(),
        Some(Value::String(text)) => text.chars().filter(|each| !each.is_control()).collect(),
        Some(other) => other.to_string(),
    }
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<_> =
        row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
    format!("{}\n", cells.join("  ").trim_end())
}
