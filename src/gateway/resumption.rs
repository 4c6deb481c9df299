//! Decides how a stream goes on after its run broke off, and which events its caller gets.
//!
//! Load pattern: an engine that ends breaks all of its runs at once, many of them without a
//! copy, and callers whose own connections broke come back at any daemon. Runs that are started
//! anew cost as much as first ones, so that the route's attempts and the shared budget bound
//! them; engines that ignore `Last-Event-Id` send what the caller has once more.

use super::events::EventId;

/// Error of a caller's `Last-Event-Id` that is not one number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidEventId;

/// Parses the values of a caller's `Last-Event-Id`. An empty value counts as none: that is how
/// server-sent events reset the id.
///
/// # Errors
/// Fails if a value is not an unsigned decimal number, or if several values differ.
pub fn parse_event_id<'a>(
    values: impl IntoIterator<Item = &'a [u8]>,
) -> Result<Option<EventId>, InvalidEventId> {
    let mut parsed = None;
    for value in values {
        let value = value.trim_ascii();
        if value.is_empty() {
            continue;
        }
        if !value.iter().all(u8::is_ascii_digit) {
            return Err(InvalidEventId);
        }
        let text = std::str::from_utf8(value).map_err(|_| InvalidEventId)?;
        let id: EventId = text.parse().map_err(|_| InvalidEventId)?;
        if parsed.is_some_and(|previous| previous != id) {
            return Err(InvalidEventId);
        }
        parsed = Some(id);
    }
    Ok(parsed)
}

/// The last event that a caller has, and how far the current run has come.
#[derive(Clone, Debug, Default)]
pub struct StreamPosition {
    is_resumable: bool,
    /// Last event that the caller has, also from an earlier response.
    last_id: Option<EventId>,
    /// Newest event with an id that the current run has sent.
    run_last_id: Option<EventId>,
    /// Whether the caller has got events without an id, and none with an id, in this response.
    lacks_id: bool,
    /// Whether the caller has got an event with an id in this response.
    has_id: bool,
}

impl StreamPosition {
    /// Begins a response to a caller that has the events up to `last_id`.
    #[must_use]
    pub fn new(is_resumable: bool, last_id: Option<EventId>) -> Self {
        Self {
            is_resumable,
            last_id,
            ..Self::default()
        }
    }

    /// Returns the last event that the caller has.
    #[must_use]
    pub fn last_id(&self) -> Option<EventId> {
        self.last_id
    }

    /// Returns whether a new run can go on after what the caller has: not if it has got events
    /// that cannot be told from those of the new run.
    #[must_use]
    pub fn is_known(&self) -> bool {
        !self.lacks_id
    }

    /// Begins to read another run.
    pub fn begin_run(&mut self) {
        self.run_last_id = None;
    }

    /// Takes the next event of the current run and returns whether the caller lacks it. Without
    /// an id, an event belongs to the one before it.
    pub fn advance(&mut self, id: Option<EventId>) -> bool {
        let Some(id) = id else {
            let repeats = self.run_last_id.is_some() && self.run_last_id < self.last_id;
            let is_new = !(self.is_resumable && repeats);
            self.lacks_id |= is_new && !self.has_id;
            return is_new;
        };
        self.run_last_id = self.run_last_id.max(Some(id));
        let is_new = Some(id) > self.last_id;
        if is_new {
            self.last_id = Some(id);
            self.has_id = true;
            self.lacks_id = false;
        }
        is_new
    }

    /// Returns whether a run that ended whole ended before the last event that the caller has:
    /// the caller's events are of another answer, and its stream is not complete.
    #[must_use]
    pub fn ends_short(&self) -> bool {
        self.run_last_id.is_some() && self.run_last_id < self.last_id
    }
}

/// What is known when the run of a stream has broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "independent inputs of one decision"
)]
pub struct BrokenStream {
    /// Whether the route's requests may be started anew.
    pub is_resumable: bool,
    /// Whether there is a copy that has not been tried.
    pub has_copy: bool,
    /// Whether the request is held, since too many engines crashed on it.
    pub is_held: bool,
    /// Whether the run broke within its first events.
    pub is_young: bool,
    /// Whether at most one crash counts against the subjects of the request.
    pub may_repeat: bool,
    /// Whether the last event that the caller has is known.
    pub is_position_known: bool,
    /// Number of starts after which the request has run or may have run; runs that go on from a
    /// copy belong to the start of their source.
    pub starts: u32,
    /// Maximum number of such starts.
    pub max_attempts: u32,
    /// Whether the deadline of the request has passed.
    pub is_late: bool,
}

/// How a stream goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterBreak {
    /// The run goes on from its copy.
    ResumeFromCopy,
    /// A new run is started after the last event that the caller has.
    StartAnew,
    /// The stream ends without its end.
    GiveUp(GiveUpReason),
}

/// Why a stream does not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
pub enum GiveUpReason {
    /// Engines crash on the request or on parts of its prompt.
    #[strum(serialize = "suspect request")]
    Suspect,
    /// No copy is left, and the request must not run again.
    #[strum(serialize = "no copy")]
    NoCopy,
    /// The caller has events without an id.
    #[strum(serialize = "no event id")]
    NoEventId,
    /// The attempts of the route are used up.
    #[strum(serialize = "attempts")]
    Attempts,
    /// The deadline has passed.
    #[strum(serialize = "deadline")]
    Deadline,
}

/// Decides how a stream goes on after a break. The caller takes a new start from the budget for
/// repeated sends.
#[must_use]
pub fn after_break(stream: &BrokenStream) -> AfterBreak {
    if stream.is_held || (stream.is_young && !stream.may_repeat) {
        return AfterBreak::GiveUp(GiveUpReason::Suspect);
    }
    if stream.has_copy {
        return AfterBreak::ResumeFromCopy;
    }
    let reason = match () {
        () if !stream.is_resumable => GiveUpReason::NoCopy,
        // Unlike a run that goes on from a copy, a new one reads the prompt again.
        () if !stream.may_repeat => GiveUpReason::Suspect,
        () if !stream.is_position_known => GiveUpReason::NoEventId,
        () if stream.starts >= stream.max_attempts => GiveUpReason::Attempts,
        () if stream.is_late => GiveUpReason::Deadline,
        () => return AfterBreak::StartAnew,
    };
    AfterBreak::GiveUp(reason)
}
