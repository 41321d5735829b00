//! Slopes of costs against counts, and their spread over repetitions.

use papayamux_testbed::ProcessUsage;
use serde::Serialize;

/// The resources that a process uses at one count.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct CostReading {
    /// Control bytes received per second.
    pub bytes_in_per_s: f64,
    /// Control bytes sent per second.
    pub bytes_out_per_s: f64,
    /// Core time used per second, in microseconds.
    pub cpu_us_per_s: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: f64,
}

impl CostReading {
    /// Creates a reading with the memory of `usage` and zero rates.
    pub fn of_memory(usage: ProcessUsage) -> Self {
        Self { resident_bytes: usage.resident.get() as f64, ..Self::default() }
    }
}

/// A count and the cost at that count.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct CostPoint {
    /// The count: connections, requests per second, or chats.
    pub count: f64,
    /// The cost at this count.
    pub cost: CostReading,
}

/// The points of one role in one repetition.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CostSeries {
    /// The role of the measured process.
    pub role: &'static str,
    /// The points, by ascending count.
    pub points: Vec<CostPoint>,
}

/// The lowest, median and highest value over the repetitions.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Spread {
    /// The lowest value.
    pub low: f64,
    /// The median.
    pub median: f64,
    /// The highest value.
    pub high: f64,
}

impl Spread {
    /// Returns the spread of `values`, or zeros if there are none.
    pub fn over(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or_default();
        Self { low: at(0), median: at(values.len() / 2), high: at(values.len().saturating_sub(1)) }
    }
}

/// Returns the least-squares slope of the (count, value) points, or 0 if all counts are equal.
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

/// The slopes of one role over all repetitions, printed as one line.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SlopeReport {
    /// The measured part.
    pub part: String,
    /// The role of the measured process.
    pub role: &'static str,
    /// Bytes received per second, per counted unit.
    pub bytes_in_per_s: Spread,
    /// Bytes sent per second, per counted unit.
    pub bytes_out_per_s: Spread,
    /// Core time in microseconds per second, per counted unit.
    pub cpu_us_per_s: Spread,
    /// Resident memory in bytes, per counted unit.
    pub resident_bytes: Spread,
    /// The points of each repetition.
    pub repetitions: Vec<Vec<CostPoint>>,
}

impl SlopeReport {
    /// Computes the slopes of `role` over all `repetitions`.
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
