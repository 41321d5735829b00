//! Reads the control traffic counters from the processes' metrics.

use std::net::SocketAddr;

use futures_util::future::join_all;
use papayamux_transport::http::HttpClient;

use super::load_sampler::fetch;

/// Common part of the names of the metrics that count control traffic.
const CONTROL_METRIC: &str = "control_bytes";

/// Returns the sum of the control bytes in a metrics page over all directions and kinds, or
/// `None` if the process does not count them.
pub fn control_bytes(metrics: &str) -> Option<f64> {
    let lines = metrics.lines().filter(|line| !line.starts_with('#'));
    let mut counted = None;
    for line in lines.filter(|line| line.contains(CONTROL_METRIC)) {
        let value = line.rsplit(' ').next().and_then(|text| text.parse::<f64>().ok());
        counted = value.map(|value| counted.unwrap_or(0.0) + value).or(counted);
    }
    counted
}

/// Reads the current control bytes of several processes.
pub async fn read_counts(operations: &[SocketAddr]) -> Vec<Option<f64>> {
    let pages = operations.iter().map(|address| async {
        let body = fetch(&HttpClient::new(*address), "/metrics").await?;
        control_bytes(&String::from_utf8_lossy(&body))
    });
    join_all(pages).await
}

/// Returns the mean rate in bytes per second over the processes that have both readings.
pub fn mean_rate(before: &[Option<f64>], after: &[Option<f64>], seconds: f64) -> Option<f64> {
    let rates: Vec<f64> = before
        .iter()
        .zip(after)
        .filter_map(|(before, after)| Some(((*after)? - (*before)?) / seconds))
        .collect();
    (!rates.is_empty()).then(|| rates.iter().sum::<f64>() / rates.len() as f64)
}
