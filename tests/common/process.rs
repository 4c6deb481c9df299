//! Processes under test. A process is killed when its handle is dropped.

use std::{
    io::{BufRead, BufReader},
    path::Path,
    process::{Child, Command, Stdio},
};

use rustix::process::{Pid, Signal, kill_process};

/// Child process, with the `event=bound` line that it printed at its start.
pub struct Process {
    child: Child,
    bound_line: String,
}

impl Process {
    /// Starts `bluebell-standin` and waits until it has printed its addresses.
    pub fn start_standin(args: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_bluebell-standin"));
        command.args(args);
        Self::spawn(command)
    }

    /// Starts `bluebelldrift run` with a settings file and waits until it has
    /// printed its addresses.
    pub fn start_daemon(settings: &Path) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_bluebelldrift"));
        command.arg("run").arg("--settings").arg(settings);
        Self::spawn(command)
    }

    fn spawn(mut command: Command) -> Self {
        command.stdout(Stdio::piped()).stdin(Stdio::null());
        let mut child = command.spawn().expect("start the process");
        let stdout = child.stdout.take().expect("its standard output is piped");
        let mut bound_line = String::new();
        let mut reader = BufReader::new(stdout);
        reader
            .read_line(&mut bound_line)
            .expect("read the addresses that the process prints");
        assert!(
            bound_line.starts_with("event=bound"),
            "the process printed {bound_line:?} instead of its addresses"
        );
        Self { child, bound_line }
    }

    /// Returns the address that the process printed under `name`.
    pub fn bound_address(&self, name: &str) -> String {
        let prefix = format!("{name}=");
        let mut words = self.bound_line.split_whitespace();
        let found = words.find_map(|w| w.strip_prefix(&prefix));
        found.expect("the process printed the address").to_owned()
    }

    /// Kills the process at once and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Pauses the process without notice, with `SIGSTOP`.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues the process after a pause.
    pub fn unpause(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to stop gracefully, with `SIGTERM`.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Returns whether the process ended with success, or `None` if it still runs.
    pub fn exit_success(&mut self) -> Option<bool> {
        let status = self
            .child
            .try_wait()
            .expect("ask for the state of the process");
        status.map(|s| s.success())
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("the process id fits in an i32");
        let pid = Pid::from_raw(pid).expect("the process id is not 0");
        kill_process(pid, signal).expect("send the signal");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Process {
    /// Returns the resident memory of the process, in KiB; 0 if it is unknown.
    pub fn resident_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kib = line.and_then(|l| l.split_whitespace().next());
        kib.and_then(|kib| kib.parse().ok()).unwrap_or(0)
    }
}
