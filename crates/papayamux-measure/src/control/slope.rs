//! Slopes of readings against counts, and their spread over repetitions.

use papayamux_testbed::ProcessUsage;
use serde::Serialize;

/// What a process spends at one count.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct CostReading {
    /// Control bytes received a second.
    pub bytes_in_per_s: f64,
    /// Control bytes sent a second.
    pub bytes_out_per_s: f64,
    /// Microseconds of a core spent in a second.
    pub cpu_us_per_s: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: f64,
}

impl CostReading {
    /// The memory of `usage`, without rates.
    pub fn of_memory(usage: ProcessUsage) -> Self {
        Self { resident_bytes: usage.resident.get() as f64, ..Self::default() }
    }
}

/// A count with what it costs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct CostPoint {
    /// The count: connections, requests a second, chats.
    pub count: f64,
    /// The cost.
    pub cost: CostReading,
}

/// The points of one role in one repetition.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CostSeries {
    /// The process that was measured.
    pub role: &'static str,
    /// The points, the lowest count first.
    pub points: Vec<CostPoint>,
}

/// Lowest, middle and highest value over the repetitions.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Spread {
    /// The lowest.
    pub low: f64,
    /// The middle.
    pub median: f64,
    /// The highest.
    pub high: f64,
}

impl Spread {
    /// The spread of `values`; zeros where there are none.
    pub fn over(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or_default();
        Self { low: at(0), median: at(values.len() / 2), high: at(values.len().saturating_sub(1)) }
    }
}

/// The slope of least squares through (count, value); 0 where all counts are the same.
pub fn fit_slope(points: &[(f64, f64)]) -> f64 {
    let number = points.len().max(1) as f64;
    let mean_count = points.iter().map(|(count, _)| count).sum::<f64>() / number;
    let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / number;
    let square: f64 = points.iter().map(|(count, _)| (count - mean_count).powi(2)).sum();
    let product = |(count, value): &(f64, f64)| (count - mean_count) * (value - mean_value);
    let covered: f64 = points.iter().map(product).sum();
    if square == 0.0 {
        0.0
    } else {
        covered / square
    }
}

/// The slopes of one role over all repetitions: one line of the output.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SlopeReport {
    /// The part.
    pub part: String,
    /// The process that was measured.
    pub role: &'static str,
    /// Bytes received a second for each of what is counted.
    pub bytes_in_per_s: Spread,
    /// Bytes sent a second for each.
    pub bytes_out_per_s: Spread,
    /// Microseconds of a core a second for each.
    pub cpu_us_per_s: Spread,
    /// Resident bytes for each.
    pub resident_bytes: Spread,
    /// All points, by repetition.
    pub repetitions: Vec<Vec<CostPoint>>,
}

impl SlopeReport {
    /// The slopes of `role` in all `repetitions`.
    pub fn new(part: String, role: &'static str, repetitions: Vec<Vec<CostPoint>>) -> Self {
        let slopes = |value: fn(&CostReading) -> f64| {
            let pairs = |points: &Vec<CostPoint>| {
                points.iter().map(|point| (point.count, value(&point.cost))).collect::<Vec<_>>()
            };
            Spread::over(repetitions.iter().map(|points| fit_slope(&pairs(points))).collect())
        };
        Self {
            part,
            role,
            bytes_in_per_s: slopes(|cost| cost.bytes_in_per_s),
            bytes_out_per_s: slopes(|cost| cost.bytes_out_per_s),
            cpu_us_per_s: slopes(|cost| cost.cpu_us_per_s),
            resident_bytes: slopes(|cost| cost.resident_bytes),
            repetitions,
        }
    }
}
