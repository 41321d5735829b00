//! Parses the text of a file and collects all findings in it.

use papayamux_settings::{Finding, Findings, IniFile};

use super::parsed_file::ParsedFile;
use super::reader::read_file;
use super::MAX_FILE_BYTES;
use crate::values::FileName;

/// Maximum number of lines in a file, which bounds the memory used by parsing.
const MAX_FILE_LINES: usize = 65_536;

impl ParsedFile {
    /// Parses the text of the file called `name`, or returns all findings in this file taken alone.
    pub fn parse(name: &FileName, text: &str) -> Result<Self, Findings> {
        check_size(name, "bytes", text.len(), MAX_FILE_BYTES)?;
        check_size(name, "lines", text.lines().count(), MAX_FILE_LINES)?;
        let file = IniFile::parse(name.as_str(), text)?;
        report_replaced_bytes(&file, text);
        let parsed = read_file(&file, name);
        file.finish(|| parsed)
    }
}

fn report_replaced_bytes(file: &IniFile, text: &str) {
    let replaced = |line: &&str| line.contains(char::REPLACEMENT_CHARACTER);
    if let Some(index) = text.lines().position(|line| replaced(&line)) {
        file.report(index + 1, "text".to_string(), "the line is not UTF-8", "");
    }
}

fn check_size(name: &FileName, unit: &str, size: usize, bound: usize) -> Result<(), Findings> {
    if size <= bound {
        return Ok(());
    }
    Err(Findings(vec![Finding {
        file: name.to_string(),
        line: 1,
        place: "file".to_string(),
        message: format!("the file has {size} {unit}, the bound is {bound}"),
        help: "split it among teams".to_string(),
    }]))
}
