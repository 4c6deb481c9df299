//! One run of a generation on one engine, over as many connections as it takes.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::{
    clock,
    credits::Permit,
    engine::{
        EndOfGeneration, EngineClient, EngineError, EngineEvent, EngineStream, GenerationRequest,
    },
    footprint::Footprint,
    quarantine::InFlight,
    refusal::Ran,
    stream::{Cursor, Verdict},
    view::Target,
};

/// First and longest pause between connections; the first one has none.
const RECONNECT_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Tokens after which a marked run is no longer on trial.
const TRIAL_TOKENS: u64 = 8;

/// How connections to engines are handled.
#[derive(Clone)]
pub(crate) struct Connecting {
    /// Client of all engines.
    pub engines: EngineClient,
    /// Longest silence of a connection, heartbeats included.
    pub silence_after: Duration,
}

/// A run on a target, with the credit it uses.
pub(crate) struct Run {
    /// Target that runs it.
    pub target: Arc<Target>,
    /// What it was asked, under the run's own id.
    pub generation: GenerationRequest,
    /// Whether it ran, as far as is known.
    pub ran: Ran,
    /// Connections in a row that may fail before the run is given up.
    pub tries: u32,
    /// Held until the run ends.
    permit: Permit,
    /// What the quarantine holds of it, until it ends.
    pub in_flight: Option<InFlight>,
    /// Memory it is expected to take at the target.
    pub footprint: Option<Footprint>,
    /// Front part of its event ids.
    pub id_prefix: Arc<str>,
    cursor: Cursor,
    /// The one connection that is trusted; an abandoned one is dropped and its
    /// late tokens with it.
    events: Option<EngineStream>,
    heard_at: Instant,
    failures: u32,
}

/// What a run does next.
pub(crate) enum Step {
    /// The next token.
    Token(u64, Bytes),
    /// A sign of life.
    Alive,
    /// The run is whole.
    End(EndOfGeneration),
}

impl Run {
    /// A run that is still to be started.
    pub fn new(target: Arc<Target>, permit: Permit, generation: GenerationRequest) -> Self {
        Self {
            in_flight: None,
            footprint: None,
            id_prefix: Arc::from(""),
            cursor: Cursor::new(generation.generation_id.clone()),
            target,
            generation,
            ran: Ran::NotRun,
            tries: 1,
            permit,
            events: None,
            heard_at: Instant::now(),
            failures: 0,
        }
    }

    /// A run that an engine has already, from token `next`.
    pub fn running(
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

    /// The run's id.
    pub fn id(&self) -> &str {
        self.cursor.generation()
    }

    /// Index of the next token.
    pub fn next_index(&self) -> u64 {
        self.cursor.next()
    }

    /// Whether any byte of it may have reached the engine.
    pub fn was_sent(&self) -> bool {
        self.ran != Ran::NotRun
    }

    /// Notes that the run was lost, so that the target's credits are given up
    /// until it has said whether it started anew.
    pub fn note_failure(&self) {
        self.permit.note_failure();
    }

    /// Connects, so that the engine has the run.
    pub async fn open(&mut self, cx: &Connecting) -> Result<(), EngineError> {
        while self.events.is_none() {
            if let Err(e) = self.connect(cx).await {
                self.abandon(e)?;
            }
        }
        Ok(())
    }

    /// Drops the connection; the next step opens another one at the cursor.
    pub fn let_go(&mut self) {
        self.events = None;
    }

    /// The next step, on a new connection when this one is silent or broken.
    /// Cancel-safe.
    pub async fn next(&mut self, cx: &Connecting) -> Result<Step, EngineError> {
        loop {
            self.open(cx).await?;
            let Some(events) = &mut self.events else {
                continue;
            };
            let silent_at = self.heard_at + cx.silence_after;
            let event = match timeout_at(silent_at, events.next()).await {
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
            self.heard_at = Instant::now();
            if let Some(step) = self.take(event)? {
                return Ok(step);
            }
        }
    }

    fn take(&mut self, event: EngineEvent) -> Result<Option<Step>, EngineError> {
        let (index, data) = match event {
            EngineEvent::Heartbeat => return Ok(Some(Step::Alive)),
            EngineEvent::End(end) if end.tokens == self.cursor.next() => {
                return Ok(Some(Step::End(end)));
            }
            EngineEvent::End(_) => {
                self.abandon(self.broken("tokens are missing before the end"))?;
                return Ok(None);
            }
            EngineEvent::Token { index, data } => (index, data),
        };
        match self.cursor.take(&self.generation.generation_id, index) {
            Verdict::Drop => Ok(None),
            Verdict::Gap => {
                self.abandon(self.broken("tokens are missing"))?;
                Ok(None)
            }
            Verdict::Deliver => {
                self.failures = 0;
                self.note_progress();
                Ok(Some(Step::Token(index, data)))
            }
        }
    }

    fn note_progress(&mut self) {
        if let Some(footprint) = &mut self.footprint {
            footprint.grow();
        }
        if self.cursor.next() == 1 {
            self.permit.note_first_token(clock::now());
        }
        if self.cursor.next() == TRIAL_TOKENS
            && let Some(in_flight) = &self.in_flight
        {
            in_flight.survived();
        }
    }

    async fn connect(&mut self, cx: &Connecting) -> Result<(), EngineError> {
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
            let resuming = cx.engines.resume(address, id, next);
            timeout(cx.silence_after, resuming).await
        } else {
            // The process may have been paused since the permit was taken, and
            // a repeated start may be the first that arrives.
            if !self.permit.is_current(clock::now()) {
                let peer = address.clone();
                return Err(EngineError::Lapsed { peer });
            }
            let before = std::mem::replace(&mut self.ran, Ran::Unknown);
            let starting = cx.engines.start(address, &self.generation);
            let started = timeout(cx.silence_after, starting).await;
            if matches!(&started, Ok(Err(e)) if e.is_not_run()) {
                self.ran = before;
            }
            started
        };
        let events = connected.unwrap_or_else(|_| Err(self.broken("no answer")))?;
        self.ran = Ran::Ran;
        self.events = Some(events);
        self.heard_at = Instant::now();
        Ok(())
    }

    /// Never trusts the connection again; gives the run up after too many.
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
        if error.is_over() || self.failures > self.tries {
            return Err(error);
        }
        Ok(())
    }

    fn broken(&self, reason: &str) -> EngineError {
        EngineError::Broken {
            peer: self.target.address.clone(),
            reason: reason.into(),
        }
    }
}

fn pause_after(failures: u32) -> Duration {
    match failures {
        0 | 1 => Duration::ZERO,
        more => {
            let doubled = RECONNECT_PAUSE.0 * 2_u32.pow((more - 2).min(8));
            doubled.min(RECONNECT_PAUSE.1)
        }
    }
}
