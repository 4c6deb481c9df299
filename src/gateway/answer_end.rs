//! Finds out whether an answer whose end is that of its connection is whole.
//!
//! Load pattern: targets write answers with neither a length nor chunks, and are killed, leave or
//! are replaced at their address meanwhile. Their operating system closes their connections in
//! order, as after a whole answer. Only the process that wrote the answer tells the two apart: it
//! goes on after a whole one. A second connection to it, opened while it writes, ends if it does, and
//! on this connection it says at the end that it is the target that was meant.

use std::{convert::Infallible, mem, time::Duration};

use futures::future::BoxFuture;
use hyper::StatusCode;

use super::{
    Gateway,
    exchange::{AnswerSource, Exchange},
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

/// Longest wait for a target's word that it goes on. A target that has just started may be slow to
/// say that it is another one.
const IDENTITY_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time between the ends of two connections of a process that ends.
const CLOSE_DELAY: Duration = Duration::from_millis(50);
/// Pause after a second connection that ended before the answer. Targets close idle connections,
/// and refuse new ones beyond some number.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);

/// Maximum number of connections on which a target that turns some away is asked.
const MAX_CONNECTIONS: usize = 3;

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
    /// The second connection to the target ended, or none could be opened.
    Ended,
    /// Another target has its address.
    Replaced,
    /// The target says nothing.
    Silent,
}

/// A second connection to a target that writes an answer without a length or chunks.
pub(super) struct Witness<'a> {
    gateway: &'a Gateway,
    id: &'a str,
    target: &'a Target,
    state: WitnessState<'a>,
}

enum WitnessState<'a> {
    /// Nothing is opened: the answer marks its own end.
    Unneeded,
    Connecting(BoxFuture<'a, Option<TargetConnection>>),
    /// The connection has been open since this time.
    Open(TargetConnection, BootTime),
    /// The connection ended, or could not be opened; another one is opened after a pause.
    Ended {
        at: BootTime,
        /// Whether it was open for too short a time to say anything of the process.
        was_turned_away: bool,
    },
}

impl<'a> Witness<'a> {
    /// Begins to watch the target of an answer, if the answer's end does not show that it is whole.
    pub fn new(gateway: &'a Gateway, job: &'a Job, target: &'a Target, framing: Framing) -> Self {
        let mut witness = Self {
            gateway,
            id: &job.info.request_id,
            target,
            state: WitnessState::Unneeded,
        };
        if framing == Framing::Close {
            witness.connect();
        }
        witness
    }

    fn connect(&mut self) {
        let connecting = self.gateway.connect_without_request(self.id, self.target);
        self.state = WitnessState::Connecting(Box::pin(connecting));
    }

    /// Keeps the connection open while the answer is read. May be cancelled.
    pub async fn keep(&mut self) -> Infallible {
        loop {
            match &mut self.state {
                WitnessState::Unneeded => std::future::pending().await,
                WitnessState::Connecting(connecting) => {
                    let connected = connecting.await;
                    let at = clock::now();
                    self.state = match connected {
                        Some(connection) => WitnessState::Open(connection, at),
                        None => WitnessState::Ended {
                            at,
                            was_turned_away: true,
                        },
                    };
                }
                WitnessState::Open(connection, since) => {
                    connection.closed().await;
                    let at = clock::now();
                    let was_turned_away = at.saturating_sub(*since) < CLOSE_DELAY;
                    self.state = WitnessState::Ended {
                        at,
                        was_turned_away,
                    };
                }
                WitnessState::Ended { at, .. } => {
                    let age = clock::now().saturating_sub(*at);
                    tokio::time::sleep(RECONNECT_PAUSE.saturating_sub(age)).await;
                    self.connect();
                }
            }
        }
    }

    /// Finds out, at the end of an answer, whether the target goes on: then the answer is whole.
    pub async fn judge(&mut self) -> Result<(), Doubt> {
        let (gateway, id, target) = (self.gateway, self.id, self.target);
        let judged = match mem::replace(&mut self.state, WitnessState::Unneeded) {
            WitnessState::Unneeded => return Ok(()),
            WitnessState::Open(connection, _) => gateway.ask_identity(target, connection).await,
            WitnessState::Ended {
                at,
                was_turned_away: false,
            } if clock::now().saturating_sub(at) < CLOSE_DELAY => Err(Doubt::Ended),
            WitnessState::Ended { .. } => gateway.ask_anew(id, target).await,
            WitnessState::Connecting(connecting) => match connecting.await {
                Some(connection) => match gateway.ask_identity(target, connection).await {
                    Err(Doubt::Ended) => gateway.ask_anew(id, target).await,
                    judged => judged,
                },
                None => Err(Doubt::Ended),
            },
        };
        let doubt = judged.err().map_or("none", <&str>::from);
        metrics::counter!("bluebell_gateway_end_checks", "doubt" => doubt).increment(1);
        log::info!(
            "event=end_check request={} target={} doubt={doubt}",
            shown(&id),
            shown(&target.id)
        );
        judged
    }
}

impl Gateway {
    /// Asks a target on new connections, of which it may turn some away.
    async fn ask_anew(&self, id: &str, target: &Target) -> Result<(), Doubt> {
        for _ in 0..MAX_CONNECTIONS {
            let connected = self.connect_without_request(id, target).await;
            let connection = connected.ok_or(Doubt::Ended)?;
            match self.ask_identity(target, connection).await {
                Err(Doubt::Ended) => tokio::time::sleep(CLOSE_DELAY).await,
                judged => return judged,
            }
        }
        Err(Doubt::Ended)
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
            Ok(Ok(exchange)) if exchange.response.status() == StatusCode::MISDIRECTED_REQUEST => {
                Err(Doubt::Replaced)
            }
            Ok(Ok(_)) => Ok(()),
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
