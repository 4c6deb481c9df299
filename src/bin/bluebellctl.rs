//! Command-line client for operators.

use std::process::ExitCode;

use bluebelldrift::{cli::CtlCli, ctl};
use clap::Parser;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match ctl::run(CtlCli::parse()).await {
        Ok(output) => {
            println!("{output}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(e.exit_code())
        }
    }
}
