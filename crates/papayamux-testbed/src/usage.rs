//! The processor time and memory that a process has used, read from `/proc`.

use std::io::{Error, ErrorKind};
use std::time::Duration;

use papayamux_state::quantities::ByteCount;

use crate::process::{ProcessHandle, TestbedError};

/// Size of a memory page, the unit of `statm`.
const PAGE_BYTES: u64 = 4_096;

/// Line of `/proc/PID/status` with the peak resident memory, in units of [`PEAK_UNIT`].
const PEAK_LINE: &str = "VmHWM:";
/// Bytes of a kilobyte in `/proc/PID/status`.
const PEAK_UNIT: u64 = 1_024;

/// The processor time and memory of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// The processor time of all present threads since the start.
    pub cpu: Duration,
    /// The resident memory.
    pub resident: ByteCount,
    /// The part of the resident memory that is mapped from files: the program and its libraries.
    pub mapped: ByteCount,
    /// The peak of the resident memory since the start.
    pub peak: ByteCount,
}

impl ProcessHandle {
    /// Reads what the process has used so far.
    pub fn usage(&self) -> Result<ProcessUsage, TestbedError> {
        let folder = format!("/proc/{}", self.id());
        let mut nanos = 0;
        for thread in std::fs::read_dir(format!("{folder}/task"))? {
            let schedule = std::fs::read_to_string(thread?.path().join("schedstat"))?;
            nanos += number_in(&schedule, 0);
        }
        let memory = std::fs::read_to_string(format!("{folder}/statm"))?;
        let resident = ByteCount::new(number_in(&memory, 1) * PAGE_BYTES);
        let mapped = ByteCount::new(number_in(&memory, 2) * PAGE_BYTES);
        let status = std::fs::read_to_string(format!("{folder}/status"))?;
        let peak = status.lines().find(|line| line.starts_with(PEAK_LINE));
        let peak = peak.ok_or_else(|| {
            Error::new(ErrorKind::InvalidData, "the status of the process has no line VmHWM")
        })?;
        let peak = ByteCount::new(number_in(peak, 1) * PEAK_UNIT);
        Ok(ProcessUsage { cpu: Duration::from_nanos(nanos), resident, mapped, peak })
    }
}

/// Returns the number in the field `index` of a line that is separated by spaces, or 0 if the field
/// isn't a number.
fn number_in(line: &str, index: usize) -> u64 {
    line.split_whitespace().nth(index).and_then(|text| text.parse().ok()).unwrap_or_default()
}
