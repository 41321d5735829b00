//! What a process has used of the machine, read from `/proc`.

use std::io::{Error, ErrorKind};
use std::time::Duration;

use papayamux_state::quantities::ByteCount;

use crate::process::{ProcessHandle, TestbedError};

/// Bytes of one page of memory.
const PAGE_BYTES: u64 = 4_096;

/// The line of a process's status that holds the most resident memory, in kilobytes.
const PEAK_LINE: &str = "VmHWM:";
/// Bytes of one of them.
const PEAK_UNIT: u64 = 1_024;

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Time on a core since the start, over all threads.
    pub cpu: Duration,
    /// Resident memory.
    pub resident: ByteCount,
    /// The part of it that is mapped from files: the program and its libraries.
    pub mapped: ByteCount,
    /// The most resident memory so far.
    pub peak: ByteCount,
}

impl ProcessHandle {
    /// What the process has used so far.
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
        let peak = peak.ok_or_else(|| Error::new(ErrorKind::InvalidData, "no line VmHWM"))?;
        let peak = ByteCount::new(number_in(peak, 1) * PEAK_UNIT);
        Ok(ProcessUsage { cpu: Duration::from_nanos(nanos), resident, mapped, peak })
    }
}

/// The number in field `index` of a line of numbers.
fn number_in(line: &str, index: usize) -> u64 {
    line.split_whitespace().nth(index).and_then(|text| text.parse().ok()).unwrap_or_default()
}
