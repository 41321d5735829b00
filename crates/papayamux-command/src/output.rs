//! The output and the exit code of the command.

/// The meaning of an exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitMeaning {
    /// There are no findings, and every queried process answered.
    Clean,
    /// There are findings, or a queried item is not in force or not found, or a process didn't answer.
    Findings,
    /// The command line is invalid or a file can't be read.
    Usage,
}

impl ExitMeaning {
    /// Returns the exit code.
    pub const fn code(self) -> u8 {
        match self {
            ExitMeaning::Clean => 0,
            ExitMeaning::Findings => 1,
            ExitMeaning::Usage => 2,
        }
    }
}

/// The result of a run of the command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandOutput {
    /// Text for standard output.
    pub text: String,
    /// Text for standard error.
    pub errors: String,
    /// The meaning of the exit code.
    pub exit: ExitMeaning,
}

impl CommandOutput {
    /// Creates an output with nothing on standard error.
    pub fn new(exit: ExitMeaning, text: String) -> Self {
        Self { text, errors: String::new(), exit }
    }

    /// Creates the output for a command that fails with a usage error.
    pub fn usage(error: &dyn std::fmt::Display) -> Self {
        let errors = format!("papayamux: {error}\n");
        Self { text: String::new(), errors, exit: ExitMeaning::Usage }
    }
}
