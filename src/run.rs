//! One run of a generation on one engine, over as many connections as needed.
//!
//! A connection that breaks, skips a token or is silent for too long is abandoned,
//! and the run is resumed on a new connection from the next token that is missing.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::{
    clock,
    credits::Permit,
    engine::{
        EndOfGeneration, EngineClient, EngineError, EngineEvent, EngineStream, GenerationRequest,
    },
    footprint::MemoryReservation,
    quarantine::InFlight,
    refusal::Ran,
    stream::{Cursor, Verdict},
    view::Target,
};

/// Shortest and longest pause before a reconnect. The first connection and the
/// first reconnect have no pause; later pauses double.
const RECONNECT_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Tokens after which a run of a request marked by the quarantine is no longer on
/// trial.
const TRIAL_TOKENS: u64 = 8;

/// Options for connections to engines.
#[derive(Clone)]
pub(crate) struct ConnectOptions {
    /// Client shared by all engines.
    pub engines: EngineClient,
    /// Time without any event, heartbeats included, after which a connection is
    /// abandoned; also the timeout for opening one.
    pub silence_after: Duration,
}

/// A run on a target, with the credit that it uses.
pub(crate) struct Run {
    /// Target on which the run is placed.
    pub target: Arc<Target>,
    /// Request to the engine, with the generation id of this run.
    pub generation: GenerationRequest,
    /// Whether the run ran, as far as is known.
    pub ran: Ran,
    /// Maximum number of consecutive failed connections that the run survives.
    pub max_failures: u32,
    /// Credit of the target, held until the run ends.
    permit: Permit,
    /// Registration with the quarantine, until the run ends; `None` for a resumed
    /// run.
    pub in_flight: Option<InFlight>,
    /// Memory that the run is expected to use on the target; `None` for a resumed
    /// run.
    pub reservation: Option<MemoryReservation>,
    /// Prefix of the event ids of the run; `.` and the token index follow.
    pub id_prefix: Arc<str>,
    /// Position of the next token.
    cursor: Cursor,
    /// The only connection that is read; `None` while there is none. An abandoned
    /// connection is dropped, so its late tokens are never read.
    events: Option<EngineStream>,
    /// Time of the last event, or of the connect.
    last_event_at: Instant,
    /// Consecutive failed connections.
    failures: u32,
}

/// One step in the progress of a run.
pub(crate) enum Step {
    /// The next token: its index, and the JSON text of its event.
    Token(u64, Bytes),
    /// A heartbeat.
    Heartbeat,
    /// The end of the run; all tokens have been read.
    End(EndOfGeneration),
}

impl Run {
    /// Creates a run that no engine has yet.
    pub fn new(target: Arc<Target>, permit: Permit, mut generation: GenerationRequest) -> Self {
        generation.boot_id = permit.boot_id().cloned();
        Self {
            in_flight: None,
            reservation: None,
            id_prefix: Arc::from(""),
            cursor: Cursor::new(generation.generation_id.clone()),
            target,
            generation,
            ran: Ran::NotRun,
            max_failures: 1,
            permit,
            events: None,
            last_event_at: Instant::now(),
            failures: 0,
        }
    }

    /// Creates a run that an engine already has, to be read from token `next`.
    pub fn resumed(
        target: Arc<Target>,
        permit: Permit,
        generation: GenerationRequest,
        next: u64,
    ) -> Self {
        let cursor = Cursor::at(generation.generation_id.clone(), next);
        Self {
            cursor,
            ran: Ran::Ran,
            ..Self::new(target, permit, generation)
        }
    }

    /// Returns the generation id of the run.
    pub fn id(&self) -> &str {
        self.cursor.generation()
    }

    /// Returns the index of the next token.
    pub fn next_index(&self) -> u64 {
        self.cursor.next()
    }

    /// Returns whether any byte of the request may have reached the engine.
    pub fn was_sent(&self) -> bool {
        self.ran != Ran::NotRun
    }

    /// Records that the run was lost. Drops all credits of its target until the
    /// target's owner has probed it for a restart.
    pub fn record_failure(&self) {
        self.permit.record_failure();
    }

    /// Connects until the engine has accepted the run.
    ///
    /// # Errors
    /// The engine declined the run or no longer has it, the credit expired before the run
    /// was sent, or too many connections failed in a row.
    pub async fn open(&mut self, options: &ConnectOptions) -> Result<(), EngineError> {
        while self.events.is_none() {
            if let Err(e) = self.connect(options).await {
                self.abandon(e)?;
            }
        }
        Ok(())
    }

    /// Drops the connection. The next step opens another one at the cursor.
    pub fn disconnect(&mut self) {
        self.events = None;
    }

    /// Returns the next step, on a new connection if the current one is silent or
    /// broken. Cancel-safe.
    ///
    /// # Errors
    /// The run is lost; see [`Run::open`].
    pub async fn next(&mut self, options: &ConnectOptions) -> Result<Step, EngineError> {
        loop {
            self.open(options).await?;
            let Some(events) = &mut self.events else {
                continue;
            };
            let silence_deadline = self.last_event_at + options.silence_after;
            let event = match timeout_at(silence_deadline, events.next()).await {
                Ok(Ok(event)) => event,
                Ok(Err(e)) => {
                    self.abandon(e)?;
                    continue;
                }
                Err(_) => {
                    self.abandon(self.broken("silent"))?;
                    continue;
                }
            };
            self.last_event_at = Instant::now();
            if let Some(step) = self.handle_event(event)? {
                return Ok(step);
            }
        }
    }

    /// Returns the step that an event stands for; `None` if there is none, because the
    /// token is a duplicate or because the connection was abandoned.
    fn handle_event(&mut self, event: EngineEvent) -> Result<Option<Step>, EngineError> {
        let (index, data) = match event {
            EngineEvent::Heartbeat => return Ok(Some(Step::Heartbeat)),
            EngineEvent::End(end) if end.tokens == self.cursor.next() => {
                return Ok(Some(Step::End(end)));
            }
            EngineEvent::End(_) => {
                self.abandon(self.broken("tokens are missing before the end"))?;
                return Ok(None);
            }
            EngineEvent::Token { index, data } => (index, data),
        };
        match self.cursor.accept(&self.generation.generation_id, index) {
            Verdict::Drop => Ok(None),
            Verdict::Gap => {
                self.abandon(self.broken("tokens are missing"))?;
                Ok(None)
            }
            Verdict::Deliver => {
                self.failures = 0;
                self.record_progress();
                Ok(Some(Step::Token(index, data)))
            }
        }
    }

    /// Updates memory reservation, credit and quarantine after a token.
    fn record_progress(&mut self) {
        if let Some(reservation) = &mut self.reservation {
            reservation.add_token();
        }
        if self.cursor.next() == 1 {
            self.permit.record_first_token(clock::now());
        }
        if self.cursor.next() == TRIAL_TOKENS
            && let Some(in_flight) = &self.in_flight
        {
            in_flight.end_trial();
        }
    }

    /// Opens a connection: resumes a run that the engine has, and starts one that it
    /// may not have.
    async fn connect(&mut self, options: &ConnectOptions) -> Result<(), EngineError> {
        sleep(pause_after(self.failures)).await;
        let address = &self.target.address;
        let connected = if self.ran == Ran::Ran {
            metrics::counter!("bluebell_resumes").increment(1);
            log::info!(
                "event=resume generation={} target={} index={}",
                self.id(),
                self.target.name,
                self.cursor.next()
            );
            let (id, next) = (self.id(), self.cursor.next());
            let resume_call = options.engines.resume(address, id, next);
            timeout(options.silence_after, resume_call).await
        } else {
            // The credit must be valid for each attempt: the process may have been
            // paused since the permit was taken, and when a start is repeated, the
            // repetition may be the first to reach the engine.
            if !self.permit.is_current(clock::now()) {
                let peer = address.clone();
                return Err(EngineError::CreditExpired { peer });
            }
            let ran_before = std::mem::replace(&mut self.ran, Ran::Unknown);
            let start_call = options.engines.start(address, &self.generation);
            let started = timeout(options.silence_after, start_call).await;
            if matches!(&started, Ok(Err(e)) if e.is_not_run()) {
                self.ran = ran_before;
            }
            started
        };
        let events = connected.unwrap_or_else(|_| Err(self.broken("no answer")))?;
        self.ran = Ran::Ran;
        self.events = Some(events);
        self.last_event_at = Instant::now();
        Ok(())
    }

    /// Drops a failed connection.
    ///
    /// # Errors
    /// Returns `error` if the engine does not have the run, or if too many connections
    /// failed in a row.
    fn abandon(&mut self, error: EngineError) -> Result<(), EngineError> {
        self.events = None;
        self.failures += 1;
        log::info!(
            "event=connection_abandoned generation={} target={} index={} failures={} error={:?}",
            self.id(),
            self.target.name,
            self.cursor.next(),
            self.failures,
            error.to_string()
        );
        if error.is_generation_lost() || self.failures > self.max_failures {
            return Err(error);
        }
        Ok(())
    }

    /// Returns the error for a stream that broke.
    fn broken(&self, reason: &str) -> EngineError {
        EngineError::Broken {
            peer: self.target.address.clone(),
            reason: reason.into(),
        }
    }
}

/// Returns the pause before the next connection, after `failures` failed ones.
fn pause_after(failures: u32) -> Duration {
    match failures {
        0 | 1 => Duration::ZERO,
        more => {
            let doubled = RECONNECT_PAUSE.0 * 2_u32.pow((more - 2).min(8));
            doubled.min(RECONNECT_PAUSE.1)
        }
    }
}
