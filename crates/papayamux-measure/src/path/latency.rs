//! Measures added latency by alternating the same calls directly to the stand-in and through
//! router and agent.

use std::error::Error;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Method;
use papayamux_protocol::chat::ChatMessage;
use papayamux_testbed::{chat_request, Caller, Fleet, FLEET_MODEL, FLEET_PATH};
use serde_json::json;

/// The number of untimed calls on each path before the measurement.
const WARM_UP: usize = 500;
/// The number of timed calls on each path.
const CALLS: usize = 5_000;
/// The number of timed chats on each path.
const CHATS: usize = 500;
/// The highest value of a histogram, in microseconds; longer times are recorded as this value.
const MAX_MICROS: u64 = 60_000_000;

/// The latencies of one path, in microseconds.
struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    fn new() -> Result<Self, Box<dyn Error>> {
        Ok(Self(Histogram::new_with_max(MAX_MICROS, 3)?))
    }

    fn record(&mut self, time: Duration) {
        self.0.saturating_record(time.as_micros() as u64);
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

fn report(
    measure: &str,
    direct: &LatencyHistogram,
    routed: &LatencyHistogram,
) -> serde_json::Value {
    let added = |quantile| routed.quantile_ms(quantile) - direct.quantile_ms(quantile);
    json!({
        "measure": measure,
        "calls_each_way": direct.0.len(),
        "direct_p50_ms": direct.quantile_ms(0.5),
        "direct_p99_ms": direct.quantile_ms(0.99),
        "routed_p50_ms": routed.quantile_ms(0.5),
        "routed_p99_ms": routed.quantile_ms(0.99),
        "added_p50_ms": added(0.5),
        "added_p99_ms": added(0.99),
    })
}

/// Returns a caller that calls the server of the given kind directly, and one that calls the
/// router.
fn direct_and_routed(fleet: &Fleet, kind: &str) -> Result<(Caller, Caller), Box<dyn Error>> {
    let server = fleet.servers.iter().find(|server| server.name.starts_with(kind));
    let direct = server.ok_or("the fleet has no server of this kind")?.standin.listen()?;
    let routed = fleet.routers[0].listen()?;
    Ok((Caller::new(direct, "measure"), Caller::new(routed, "measure")))
}

/// Measures the latency of plain calls.
pub async fn measure_calls(fleet: &Fleet) -> Result<serde_json::Value, Box<dyn Error>> {
    let (direct, routed) = direct_and_routed(fleet, "service")?;
    let (mut direct_times, mut routed_times) = (LatencyHistogram::new()?, LatencyHistogram::new()?);
    for index in 0..WARM_UP + CALLS {
        for (caller, times) in [(&direct, &mut direct_times), (&routed, &mut routed_times)] {
            let sent = Instant::now();
            caller.call(Method::GET, FLEET_PATH, &[], Bytes::new()).await?;
            if index >= WARM_UP {
                times.record(sent.elapsed());
            }
        }
    }
    Ok(report("added_latency_call", &direct_times, &routed_times))
}

/// Measures the time to first token of streamed chats.
pub async fn measure_first_tokens(fleet: &Fleet) -> Result<serde_json::Value, Box<dyn Error>> {
    let (direct, routed) = direct_and_routed(fleet, "engine")?;
    let (mut direct_times, mut routed_times) = (LatencyHistogram::new()?, LatencyHistogram::new()?);
    for index in 0..CHATS {
        let content = format!("question number {index}");
        let message = ChatMessage { role: "user".to_string(), content };
        let request = chat_request(FLEET_MODEL, vec![message], 2);
        for (caller, times) in [(&direct, &mut direct_times), (&routed, &mut routed_times)] {
            times.record(caller.chat(&request).await?.first_token);
        }
    }
    Ok(report("added_latency_first_token", &direct_times, &routed_times))
}
