//! Stand-ins for the platform, engines and plain services.

use std::process::ExitCode;

use bluebelldrift::{
    cli::{EXIT_FAILED, StandinCli, StandinCommand},
    standin,
};
use clap::Parser;

#[tokio::main]
async fn main() -> ExitCode {
    let result = match StandinCli::parse().command {
        StandinCommand::Platform(args) => standin::platform::run(&args).await,
        StandinCommand::Engine(args) => standin::engine::run(args).await,
        StandinCommand::Service(args) => standin::service::run(args).await,
        StandinCommand::Quickstart => standin::quickstart::run().await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
