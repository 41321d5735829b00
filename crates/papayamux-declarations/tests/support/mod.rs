//! Random revisions of files that compete for a few names.

use bolero::TypeGenerator;
use papayamux_declarations::{DeclarationFile, FileName, FileSet};

const FILES: [&str; 5] = ["abacus", "booking", "caverns", "kiosk", "owners"];
const MAX_ITEMS: usize = 8;

/// A random item of a file.
#[derive(Debug, Clone, TypeGenerator)]
pub struct ItemChoice {
    kind: u8,
    name: u8,
    other: u8,
    flag: bool,
}

/// A random revision of a file.
#[derive(Debug, Clone, TypeGenerator)]
pub struct RevisionChoice {
    file: u8,
    revision: u8,
    content_kind: u8,
    items: Vec<ItemChoice>,
}

impl RevisionChoice {
    /// Returns the revision: of 8 kinds 6 have a generated text, one is invalid and one a deletion.
    pub fn file(&self) -> DeclarationFile {
        let name = FILES[usize::from(self.file) % FILES.len()];
        let revision = u64::from(self.revision % 8).into();
        match self.content_kind % 8 {
            0 => DeclarationFile::deleted(file_name(name), revision),
            1 => DeclarationFile::new(file_name(name), revision, "[team]\nname = wrong\n"),
            _ => DeclarationFile::new(file_name(name), revision, self.text(name)),
        }
    }

    fn text(&self, file: &str) -> String {
        let mut text = format!("[team]\nname = {file}\n");
        let mut titles = Vec::new();
        for item in self.items.iter().take(MAX_ITEMS) {
            let (title, keys) = if file == "owners" { item.grant() } else { item.section() };
            if !titles.contains(&title) {
                text.push_str(&format!("[{title}]\n{keys}"));
                titles.push(title);
            }
        }
        text
    }
}

impl ItemChoice {
    fn section(&self) -> (String, String) {
        let (name, other) = (self.name % 4, self.other % 4);
        let weights = format!("version = {other}\nweights = w{other}\n");
        match self.kind % 6 {
            0 => (
                format!("organisation o{name}"),
                format!("share = {}%\npriority = {}\n", other * 8, other * 3),
            ),
            1 => (format!("model m{name}"), format!("{weights}retiring = {}\n", self.flag)),
            2 => (format!("adapter a{name}"), format!("{weights}model = m{other}\n")),
            3 => (
                format!("server s{name}"),
                format!(
                    "kind = engine\nagent = 10.0.0.{name}:9\nfailure_domain = d\n\
                     models = m{other}, m{name}\nadapters = a{other}, a{name}\n"
                ),
            ),
            4 => (
                format!("server s{name}"),
                format!("kind = service\nagent = 10.0.0.{name}:8\nfailure_domain = d\n"),
            ),
            _ => (
                format!("route /r{name}"),
                format!("servers = s{other}, s{name}\nidempotent_methods = GET\n"),
            ),
        }
    }

    fn grant(&self) -> (String, String) {
        let team = FILES[usize::from(self.name) % 4];
        let keys = match self.kind % 4 {
            0 => format!("models = m{}\n", self.name % 4),
            1 => format!("share = {}%\n", self.other % 25),
            2 => format!("first_priority = {}\n", self.other % 9),
            _ => format!("routes = /r{}*\n", self.name % 4),
        };
        (format!("grant {team}"), keys)
    }
}

fn file_name(name: &str) -> FileName {
    match name.parse() {
        Ok(name) => name,
        Err(error) => unreachable!("{error}"),
    }
}

/// Returns the set after offering `files` in order.
pub fn file_set_of<'a>(files: impl IntoIterator<Item = &'a DeclarationFile>) -> FileSet {
    let mut set = FileSet::default();
    for file in files {
        set.offer(file.clone());
    }
    set
}
