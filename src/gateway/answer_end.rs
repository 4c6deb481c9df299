//! Finds out whether an answer whose end is that of its connection is whole.
//!
//! Load pattern: targets write answers with neither a length nor chunks, and are killed, leave or
//! are replaced at their address meanwhile. Their operating system closes their connections in
//! order, as after a whole answer. The difference is the process that wrote the answer, which goes
//! on after a whole one. A second connection to it, opened while it writes, ends with it, and is
//! used at the end to ask it whether it is the target that was meant. Targets also close idle
//! connections, turn new ones away, and may be silent for a while.

use std::{convert::Infallible, mem, time::Duration};

use futures::future::BoxFuture;
use hyper::StatusCode;

use super::{
    Gateway,
    exchange::{AnswerSource, Exchange, is_refused},
    framing::Framing,
    job::Job,
    model::Target,
    target_connection::TargetConnection,
    whole_body::BodyError,
};
use crate::{
    clock::{self, BootTime},
    log::shown,
};

/// Longest wait for the answer to that question. Sound targets may be silent for a second or so.
const IDENTITY_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time between the ends of two connections of a process that ends.
const CLOSE_DELAY: Duration = Duration::from_millis(50);
/// Pause after a second connection that was turned away: targets take only some number of them.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);
/// Maximum number of connections on which a target that turns some away is asked.
const MAX_QUESTIONS: usize = 3;

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum BodyEnd {
    /// Where its framing says, or with an orderly end of the connection.
    Orderly,
    /// Before that, by a reset or an early end of the connection.
    Broken,
    /// This daemon read no further, for lack of memory or because of its size.
    NotRead,
}

impl BodyEnd {
    /// Returns the end of a body that was read whole.
    pub fn of<B>(read: &Result<B, BodyError>) -> Self {
        match read {
            Ok(_) => Self::Orderly,
            Err(BodyError::Broken { .. }) => Self::Broken,
            Err(BodyError::TooLarge { .. } | BodyError::NoMemory) => Self::NotRead,
        }
    }
}

/// Why an answer cannot be shown to be whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Doubt {
    /// No process listens at the target's address, or the second connection ended.
    Ended,
    /// Another target has its address.
    Replaced,
    /// The target was not reached, or says nothing.
    Silent,
}

/// A second connection to a target that writes an answer without a length or chunks.
pub(super) struct SecondConnection<'a> {
    gateway: &'a Gateway,
    id: &'a str,
    target: &'a Target,
    state: State<'a>,
}

enum State<'a> {
    /// Nothing is opened: the answer marks its own end.
    Unneeded,
    Connecting(BoxFuture<'a, Result<TargetConnection, Doubt>>),
    /// The connection has been open since this time.
    Open(TargetConnection, BootTime),
    /// The connection had been open and ended at this time. The target is asked at once whether it
    /// has only closed an idle connection.
    Ended(BootTime, BoxFuture<'a, Result<(), Doubt>>),
    /// The target turned the connection away at this time; another one is opened after a pause.
    TurnedAway(BootTime),
    /// The process that wrote the answer may have ended since.
    Doubtful(Doubt),
}

impl<'a> SecondConnection<'a> {
    /// Opens the connection, if the answer's end does not show by itself that it is whole.
    pub fn open(gateway: &'a Gateway, job: &'a Job, target: &'a Target, framing: Framing) -> Self {
        let id = &job.info.request_id;
        let state = match framing {
            Framing::Length | Framing::Chunks => State::Unneeded,
            Framing::Close => State::connecting(gateway, id, target),
        };
        Self {
            gateway,
            id,
            target,
            state,
        }
    }

    /// Keeps the connection open while the answer is read. May be cancelled.
    pub async fn keep(&mut self) -> Infallible {
        let (gateway, id, target) = (self.gateway, self.id, self.target);
        loop {
            self.state = match &mut self.state {
                State::Unneeded | State::Doubtful(_) => std::future::pending().await,
                State::Connecting(connecting) => match connecting.await {
                    Ok(connection) => State::Open(connection, clock::now()),
                    Err(_) => State::TurnedAway(clock::now()),
                },
                State::Open(connection, since) => {
                    connection.closed().await;
                    let now = clock::now();
                    if now.saturating_sub(*since) < CLOSE_DELAY {
                        State::TurnedAway(now)
                    } else {
                        State::Ended(now, Box::pin(gateway.ask_anew(id, target)))
                    }
                }
                State::Ended(_, asking) => match asking.await {
                    Ok(()) => State::connecting(gateway, id, target),
                    Err(doubt) => State::Doubtful(doubt),
                },
                State::TurnedAway(at) => {
                    let age = clock::now().saturating_sub(*at);
                    tokio::time::sleep(RECONNECT_PAUSE.saturating_sub(age)).await;
                    State::connecting(gateway, id, target)
                }
            };
        }
    }

    /// Finds out, at the end of an answer, whether the target goes on: then the answer is whole.
    pub async fn confirm_end(&mut self) -> Result<(), Doubt> {
        let (gateway, id, target) = (self.gateway, self.id, self.target);
        let checked = match mem::replace(&mut self.state, State::Unneeded) {
            State::Unneeded => return Ok(()),
            State::Doubtful(doubt) => Err(doubt),
            State::Open(connection, _) => gateway.ask_identity(target, connection).await,
            // Both connections of a process that ends do so at about the same time.
            State::Ended(at, _) if clock::now().saturating_sub(at) < CLOSE_DELAY => {
                Err(Doubt::Ended)
            }
            State::Ended(_, asking) => asking.await,
            State::TurnedAway(_) => gateway.ask_anew(id, target).await,
            State::Connecting(connecting) => {
                let checked = match connecting.await {
                    Ok(connection) => gateway.ask_identity(target, connection).await,
                    Err(doubt) => Err(doubt),
                };
                match checked {
                    Ok(()) | Err(Doubt::Replaced) => checked,
                    Err(_) => gateway.ask_anew(id, target).await,
                }
            }
        };
        let doubt = checked.err().map_or("none", <&str>::from);
        metrics::counter!("bluebell_gateway_end_checks", "doubt" => doubt).increment(1);
        log::info!(
            "event=end_check request={} target={} doubt={doubt}",
            shown(&id),
            shown(&target.id)
        );
        checked
    }
}

impl<'a> State<'a> {
    fn connecting(gateway: &'a Gateway, id: &'a str, target: &'a Target) -> Self {
        Self::Connecting(Box::pin(gateway.connect_or_doubt(id, target)))
    }
}

impl Gateway {
    async fn connect_or_doubt(&self, id: &str, target: &Target) -> Result<TargetConnection, Doubt> {
        let connected = self.connect_to_ask(id, target).await;
        connected.map_err(|e| {
            log::debug!("event=end_check_unsent error={:?}", e.to_string());
            if is_refused(&e) {
                Doubt::Ended
            } else {
                Doubt::Silent
            }
        })
    }

    /// Asks a target on new connections, of which it may turn some away.
    async fn ask_anew(&self, id: &str, target: &Target) -> Result<(), Doubt> {
        for _ in 1..MAX_QUESTIONS {
            let connection = match self.connect_or_doubt(id, target).await {
                Ok(connection) => connection,
                Err(Doubt::Silent) => continue,
                Err(doubt) => return Err(doubt),
            };
            match self.ask_identity(target, connection).await {
                Err(Doubt::Ended) => tokio::time::sleep(CLOSE_DELAY).await,
                checked => return checked,
            }
        }
        let connection = self.connect_or_doubt(id, target).await?;
        self.ask_identity(target, connection).await
    }

    /// Asks whoever has the connection whether it is the target. Only an answer counts: a process
    /// that ends may have accepted the connection, and one that is another target may be slow.
    async fn ask_identity(
        &self,
        target: &Target,
        connection: TargetConnection,
    ) -> Result<(), Doubt> {
        let Target { id, address, .. } = target;
        let request = (self.engines.identity_request)(id, *address).ok_or(Doubt::Silent)?;
        let asking = Exchange::open_over(connection, *address, request);
        match tokio::time::timeout(IDENTITY_TIMEOUT, asking).await {
            Ok(Ok(exchange)) => match exchange.response.status() {
                StatusCode::MISDIRECTED_REQUEST => Err(Doubt::Replaced),
                // Written before the question, by a server that closes an idle connection.
                StatusCode::REQUEST_TIMEOUT => Err(Doubt::Ended),
                _ => Ok(()),
            },
            Ok(Err(_)) => Err(Doubt::Ended),
            Err(_) => Err(Doubt::Silent),
        }
    }

    /// Logs how an answer of a target ended, and by what its end is known.
    pub(super) fn record_body_end(
        &self,
        job: &Job,
        target: &Target,
        source: AnswerSource,
        end: BodyEnd,
    ) {
        let AnswerSource { framing, way } = source;
        let is_leaving = self.shared.fleet().is_leaving(target);
        metrics::counter!(
            "bluebell_gateway_body_ends",
            "framing" => <&str>::from(framing), "end" => <&str>::from(end)
        )
        .increment(1);
        log::info!(
            "event=body_end request={} target={} framing={framing} end={end} way={way} leaving={is_leaving}",
            shown(&job.info.request_id),
            shown(&target.id)
        );
    }
}
