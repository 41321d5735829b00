//! An INI file with the line numbers of its sections and keys.

use std::cell::RefCell;
use std::collections::BTreeMap;

use ini::Ini;

use crate::finding::{Finding, Findings};
use crate::section::SectionReader;

/// Maximum number of findings per file; the first in the order of the checks are kept.
const MAX_FINDINGS: usize = 1_000;

/// A parsed INI file. Values come from `rust-ini`. Line numbers come from a separate scan of the text,
/// because the library doesn't provide them.
#[derive(Debug)]
pub struct IniFile {
    name: String,
    ini: Ini,
    section_lines: BTreeMap<String, Vec<usize>>,
    key_lines: BTreeMap<(String, String), Vec<usize>>,
    findings: RefCell<Vec<Finding>>,
}

impl IniFile {
    /// Parses `text`, the content of the file called `name`.
    pub fn parse(name: &str, text: &str) -> Result<Self, Findings> {
        let ini = Ini::load_from_str_noescape(text).map_err(|error| {
            Findings(vec![Finding {
                file: name.to_string(),
                line: error.line,
                place: "syntax".to_string(),
                message: error.msg.to_string(),
                help: "write [section] lines and key = value lines".to_string(),
            }])
        })?;
        let mut file = Self {
            name: name.to_string(),
            ini,
            section_lines: BTreeMap::new(),
            key_lines: BTreeMap::new(),
            findings: RefCell::default(),
        };
        file.record_lines(text);
        file.report_duplicates();
        file.report_scan_differences();
        Ok(file)
    }

    fn record_lines(&mut self, text: &str) {
        let mut section = String::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            let number = index + 1;
            if let Some(rest) = line.strip_prefix('[') {
                section = rest.split(']').next().unwrap_or_default().trim().to_string();
                self.section_lines.entry(section.clone()).or_default().push(number);
            } else if !line.starts_with([';', '#']) {
                if let Some((key, _)) = line.split_once(['=', ':']) {
                    let place = (section.clone(), key.trim().to_string());
                    self.key_lines.entry(place).or_default().push(number);
                }
            }
        }
    }

    fn report_duplicates(&self) {
        for (section, lines) in &self.section_lines {
            for line in &lines[1..] {
                self.report(*line, format!("[{section}]"), "the section stands twice", "join them");
            }
        }
        for ((section, key), lines) in &self.key_lines {
            for line in &lines[1..] {
                let place = format!("[{section}] {key}");
                self.report(*line, place, "the key stands twice", "keep one of them");
            }
        }
        for (key, _) in self.ini.general_section().iter() {
            let line = self.key_line("", key);
            self.report(line, key.to_string(), "the key stands before any section", "");
        }
    }

    /// Reports sections and keys that only the library or only the scan has found. They differ after
    /// a bare carriage return or in a quoted value of several lines, for example, and a section or
    /// key would be ignored silently.
    fn report_scan_differences(&self) {
        let mut section_counts: BTreeMap<&str, usize> = BTreeMap::new();
        let mut counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        for (section, properties) in &self.ini {
            if let Some(section) = section {
                *section_counts.entry(section).or_default() += 1;
            }
            for (key, _) in properties.iter() {
                *counts.entry((section.unwrap_or_default(), key)).or_default() += 1;
            }
        }
        for (section, count) in &section_counts {
            if self.section_lines.get(*section).map_or(0, Vec::len) != *count {
                self.report_scan_difference(self.section_line(section), format!("[{section}]"));
            }
        }
        for section in self.section_lines.keys() {
            if !section_counts.contains_key(section.as_str()) {
                self.report_scan_difference(self.section_line(section), format!("[{section}]"));
            }
        }
        for ((section, key), count) in &counts {
            let place = (section.to_string(), key.to_string());
            if self.key_lines.get(&place).map_or(0, Vec::len) != *count {
                self.report_scan_difference(
                    self.section_line(section),
                    format!("[{section}] {key}"),
                );
            }
        }
        for (section, key) in self.key_lines.keys() {
            if !counts.contains_key(&(section.as_str(), key.as_str())) {
                self.report_scan_difference(
                    self.key_line(section, key),
                    format!("[{section}] {key}"),
                );
            }
        }
    }

    fn report_scan_difference(&self, line: usize, place: String) {
        let help = "write each section and each key on a line of its own, without line breaks \
                    in values";
        self.report(line, place, "it does not stand on a line of its own", help);
    }

    /// Returns the name of the file.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the section called `name`. A missing section is reported and read as empty.
    pub fn section<'a>(&'a self, name: &str) -> SectionReader<'a> {
        if self.ini.section(Some(name)).is_none() {
            self.report(1, format!("[{name}]"), "the section is missing", "");
        }
        self.optional_section(name)
    }

    /// Returns the section called `name`. A missing section is read as empty.
    pub fn optional_section<'a>(&'a self, name: &str) -> SectionReader<'a> {
        SectionReader::new(self, name, self.ini.section(Some(name)))
    }

    /// Returns `true` if the file has a section called `name`.
    pub fn has_section(&self, name: &str) -> bool {
        self.ini.section(Some(name)).is_some()
    }

    /// Returns the names of all sections `[kind name]` of a kind, in file order.
    pub fn section_names(&self, kind: &str) -> Vec<String> {
        let mut names: Vec<_> = self
            .section_lines
            .iter()
            .filter_map(|(section, lines)| {
                let name = section.strip_prefix(kind)?.strip_prefix(' ')?;
                Some((lines[0], name.trim().to_string()))
            })
            .collect();
        names.sort();
        names.into_iter().map(|(_, name)| name).collect()
    }

    /// Reports each section that is neither named in `exact` nor of a kind in `kinds`.
    pub fn report_unknown_sections(&self, exact: &[&str], kinds: &[&str]) {
        for (section, lines) in &self.section_lines {
            let kind = section.split(' ').next().unwrap_or_default();
            let known = exact.contains(&section.as_str())
                || (section.contains(' ') && kinds.contains(&kind));
            if !known {
                let help = format!("known sections: {}", [exact, kinds].concat().join(", "));
                self.report(lines[0], format!("[{section}]"), "the section is unknown", &help);
            }
        }
    }

    /// Returns the line number of the section called `name`, starting at 1; 1 if there is none.
    pub fn section_line(&self, name: &str) -> usize {
        self.section_lines.get(name).and_then(|lines| lines.first()).copied().unwrap_or(1)
    }

    /// Returns the line number of a key, or of its section if the key is missing.
    pub(crate) fn key_line(&self, section: &str, key: &str) -> usize {
        let place = (section.to_string(), key.to_string());
        let key_line = self.key_lines.get(&place).and_then(|lines| lines.first());
        key_line.copied().unwrap_or_else(|| self.section_line(section))
    }

    /// Adds a finding, unless the file already has the maximum number.
    pub fn report(&self, line: usize, place: String, message: &str, help: &str) {
        let mut findings = self.findings.borrow_mut();
        if findings.len() >= MAX_FINDINGS {
            return;
        }
        findings.push(Finding {
            file: self.name.clone(),
            line,
            place,
            message: message.to_string(),
            help: help.to_string(),
        });
    }

    /// Returns the value if the file has no findings, or else the findings.
    pub fn finish<T>(self, value: impl FnOnce() -> Option<T>) -> Result<T, Findings> {
        let findings = Findings(self.findings.into_inner());
        if findings.0.is_empty() {
            if let Some(value) = value() {
                return Ok(value);
            }
        }
        findings.or(()).and(Err(Findings::default()))
    }
}
