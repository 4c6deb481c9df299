//! Open-loop load generator and benchmark for daemons.

use std::process::ExitCode;

use bluebelldrift::{
    cli::{EXIT_FAILED, LoadCli},
    load,
};
use clap::Parser;

#[tokio::main]
async fn main() -> ExitCode {
    match load::run(LoadCli::parse().command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
