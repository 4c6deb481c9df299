//! Daemon that runs on each entry instance.

use std::{fs, io, process::ExitCode};

use bluebelldrift::{
    Daemon, LOG_FLUSH_TIMEOUT, Settings, SettingsError,
    cli::{DaemonCli, DaemonCommand, EXIT_BAD_INPUT, EXIT_FAILED, SettingsPrint},
    flush_log, install_log, settings_schemas,
};
use clap::Parser;
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    match DaemonCli::parse().command {
        DaemonCommand::Check(file) => exit_code(Settings::read(&file.settings).map(drop)),
        DaemonCommand::Settings(options) => print_settings(&options),
        DaemonCommand::Run(file) => match Settings::read(&file.settings) {
            Ok(settings) => run(settings),
            Err(e) => exit_code(Err(e)),
        },
    }
}

fn exit_code(result: Result<(), SettingsError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(EXIT_BAD_INPUT, &e.to_string()),
    }
}

fn fail(code: u8, message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::from(code)
}

fn print_settings(options: &SettingsPrint) -> ExitCode {
    if options.example {
        let example = serde_json::to_string_pretty(&Settings::example());
        println!("{}", example.unwrap_or_default());
    }
    if let Some(directory) = &options.schemas {
        for (name, schema) in settings_schemas() {
            let text = format!("{schema:#}\n");
            if let Err(e) = fs::write(directory.join(name), text) {
                return fail(EXIT_FAILED, &format!("step=write_schema file={name}: {e}"));
            }
        }
    }
    ExitCode::SUCCESS
}

fn run(settings: Settings) -> ExitCode {
    if let Err(e) = install_log(&settings.log, settings.name.clone()) {
        return fail(EXIT_BAD_INPUT, &e.to_string());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let result = runtime.and_then(|runtime| runtime.block_on(serve(settings)));
    flush_log(LOG_FLUSH_TIMEOUT);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(EXIT_FAILED, &e.to_string()),
    }
}

async fn serve(settings: Settings) -> io::Result<()> {
    let name = settings.name.clone();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = Daemon::spawn(settings).await.map_err(io::Error::other)?;
    println!(
        "event=bound instance={name} caller={} operator={} peer={}",
        daemon.caller_address, daemon.operator_address, daemon.peer_address
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.stop().await;
    Ok(())
}
