//! Parsing of a daemon's command line and its help and error texts.

use papayamux_daemon::command_line::{read_arguments, CommandLineError, DaemonInfo, DaemonTask};

const INFO: DaemonInfo = DaemonInfo { program: "papayamux-router", purpose: "takes requests" };

fn read(arguments: &[&str]) -> Result<DaemonTask, CommandLineError> {
    read_arguments(INFO, arguments.iter().map(|argument| argument.to_string()))
}

#[test]
fn help_names_options_and_exit_codes() -> Result<(), CommandLineError> {
    insta::assert_debug_snapshot!(read(&["--settings", "r.ini"])?, @r#"
    Run(
        "r.ini",
    )
    "#);
    let DaemonTask::Print(text) = read(&["--help"])? else {
        return Err(CommandLineError::NoSettings);
    };
    insta::assert_snapshot!(text);
    Ok(())
}

#[test]
fn command_line_errors_say_what_to_do() {
    let texts: Vec<_> = [&["--setings", "r.ini"][..], &[], &["--settings"]]
        .iter()
        .filter_map(|arguments| read(arguments).err())
        .map(|error| error.to_string())
        .collect();
    insta::assert_snapshot!(texts.join("\n"));
}
