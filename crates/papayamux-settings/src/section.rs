//! Typed access to the keys of a section.

use std::cell::RefCell;
use std::collections::HashSet;
use std::fmt;
use std::str::FromStr;

use ini::Properties;

use crate::ini_file::IniFile;

/// Reads the keys of a section and reports those that are missing, malformed or unknown.
#[derive(Debug)]
pub struct SectionReader<'a> {
    file: &'a IniFile,
    name: String,
    properties: Option<&'a Properties>,
    read: RefCell<HashSet<String>>,
}

impl<'a> SectionReader<'a> {
    pub(crate) fn new(file: &'a IniFile, name: &str, properties: Option<&'a Properties>) -> Self {
        Self { file, name: name.to_string(), properties, read: RefCell::default() }
    }

    /// Returns the name of the section after its kind: `NAME` in `[kind NAME]`.
    pub fn name_after_kind<T>(&self) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let (_, name) = self.name.split_once(' ')?;
        match name.trim().parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.report("", &format!("{name:?} does not fit: {error}"), "");
                None
            }
        }
    }

    /// Returns the text of a key, if present.
    pub fn text(&self, key: &str) -> Option<&'a str> {
        self.read.borrow_mut().insert(key.to_string());
        self.properties.and_then(|properties| properties.get(key))
    }

    /// Returns the value of an optional key.
    pub fn optional<T>(&self, key: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let text = self.text(key)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(key, &format!("{text:?} does not fit: {error}"), "");
                None
            }
        }
    }

    /// Returns the value of an optional key whose value must not appear in findings.
    pub fn optional_secret<T>(&self, key: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        match self.text(key)?.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(key, &format!("the value does not fit: {error}"), "");
                None
            }
        }
    }

    /// Returns the value of a key, or `fallback` if the key is missing or malformed.
    pub fn or<T>(&self, key: &str, fallback: T) -> T
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        self.optional(key).unwrap_or(fallback)
    }

    /// Returns the value of a required key and reports a missing one, unless the whole section is
    /// missing.
    pub fn required<T>(&self, key: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        if self.properties.is_some() && self.text(key).is_none() {
            self.report(key, "the key is missing", "");
        }
        self.optional(key)
    }

    /// Returns the values of a comma-separated list.
    pub fn list<T>(&self, key: &str) -> Vec<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let texts = self.text(key).unwrap_or_default().split(',').map(str::trim);
        let mut values = Vec::new();
        for text in texts.filter(|text| !text.is_empty()) {
            match text.parse() {
                Ok(value) => values.push(value),
                Err(error) => self.report(key, &format!("{text:?} does not fit: {error}"), ""),
            }
        }
        values
    }

    /// Returns the keys of the section in file order, for sections whose keys are names chosen by the
    /// operator.
    pub fn keys(&self) -> Vec<&'a str> {
        self.properties.into_iter().flat_map(Properties::iter).map(|(key, _)| key).collect()
    }

    /// Adds a finding on a key of this section.
    pub fn report(&self, key: &str, message: &str, help: &str) {
        let line = self.file.key_line(&self.name, key);
        self.file.report(line, format!("[{}] {key}", self.name), message, help);
    }

    /// Reports each key that has not been read.
    pub fn report_unknown_keys(&self) {
        let read = self.read.borrow();
        let mut known: Vec<_> = read.iter().map(String::as_str).collect();
        known.sort_unstable();
        let help = format!("known keys: {}", known.join(", "));
        for (key, _) in self.properties.into_iter().flat_map(Properties::iter) {
            if !read.contains(key) {
                self.report(key, "the key is unknown", &help);
            }
        }
    }
}
