//! What the command prints, and the code it leaves with.

/// What an exit code means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitMeaning {
    /// Nothing was found; every process answered.
    Clean,
    /// There are findings, or something asked about is not in force, or a process did not answer.
    Findings,
    /// The command line can't be understood or a file can't be read.
    Usage,
}

impl ExitMeaning {
    /// The exit code.
    pub const fn code(self) -> u8 {
        match self {
            ExitMeaning::Clean => 0,
            ExitMeaning::Findings => 1,
            ExitMeaning::Usage => 2,
        }
    }
}

/// What the command prints before it leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandOutput {
    /// For standard output.
    pub text: String,
    /// For standard error.
    pub errors: String,
    /// The exit code's meaning.
    pub exit: ExitMeaning,
}

impl CommandOutput {
    /// An outcome with nothing on standard error.
    pub fn new(exit: ExitMeaning, text: String) -> Self {
        Self { text, errors: String::new(), exit }
    }

    /// A refused command line.
    pub fn usage(error: &dyn std::fmt::Display) -> Self {
        let errors = format!("papayamux: {error}\n");
        Self { text: String::new(), errors, exit: ExitMeaning::Usage }
    }
}
