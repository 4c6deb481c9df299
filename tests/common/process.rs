//! Processes under test, ended when dropped.

use std::{
    io::{BufRead, BufReader},
    path::Path,
    process::{Child, Command, Stdio},
};

use rustix::process::{Pid, Signal, kill_process};

/// A child process and the line of addresses it printed.
pub struct Process {
    child: Child,
    bound: String,
}

impl Process {
    /// Starts `bluebell-standin`.
    pub fn standin(args: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_bluebell-standin"));
        command.args(args);
        Self::spawn(command)
    }

    /// Starts `bluebelldrift run` with a settings file.
    pub fn daemon(settings: &Path) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_bluebelldrift"));
        command.arg("run").arg("--settings").arg(settings);
        Self::spawn(command)
    }

    fn spawn(mut command: Command) -> Self {
        command.stdout(Stdio::piped()).stdin(Stdio::null());
        let mut child = command.spawn().expect("the process starts");
        let stdout = child.stdout.take().expect("its output is piped");
        let mut bound = String::new();
        let mut reader = BufReader::new(stdout);
        reader
            .read_line(&mut bound)
            .expect("it prints its addresses");
        assert!(bound.starts_with("event=bound"), "it printed {bound:?}");
        Self { child, bound }
    }

    /// The address printed under `name`.
    pub fn bound(&self, name: &str) -> String {
        let prefix = format!("{name}=");
        let mut words = self.bound.split_whitespace();
        let found = words.find_map(|w| w.strip_prefix(&prefix));
        found.expect("the address was printed").to_owned()
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Pauses it at whatever line it is.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on after a pause.
    pub fn unpause(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks it to stop gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Whether it has ended, and if so whether with success.
    pub fn ended(&mut self) -> Option<bool> {
        let status = self.child.try_wait().expect("its state is known");
        status.map(|s| s.success())
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id");
        let pid = Pid::from_raw(pid).expect("a process id");
        kill_process(pid, signal).expect("the signal is sent");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Process {
    /// Resident memory, in KiB.
    pub fn resident_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kib = line.and_then(|l| l.split_whitespace().next());
        kib.and_then(|kib| kib.parse().ok()).unwrap_or(0)
    }
}
