//! The share of the fleet's budget for repeated sends that this daemon may use.
//!
//! Load pattern: a target or zone that fails makes every daemon resend at
//! once. Each keeps to its own share, so that the sum holds without talk.

use std::{collections::VecDeque, time::Duration};

use crate::clock::BootTime;

/// Part of the budget that is planned with; the rest covers windows that lie
/// across the ones counted here, and daemons that this one has not heard of.
const USED_PART: f64 = 0.8;

/// Repeated sends of one service.
#[derive(Debug)]
pub struct ExtraSends {
    share: f64,
    extra: f64,
    window: Duration,
    /// Times of first sends, oldest first.
    firsts: VecDeque<BootTime>,
    /// Times of repeated sends, oldest first.
    repeats: VecDeque<BootTime>,
}

impl ExtraSends {
    /// Starts with nothing sent. `extra` is for all daemons together.
    #[must_use]
    pub fn new(share: f64, extra: f64, window: Duration) -> Self {
        Self {
            share,
            extra,
            window,
            firsts: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Counts a request's first send.
    pub fn note_first(&mut self, now: BootTime) {
        self.forget(now);
        self.firsts.push_back(now);
    }

    /// Takes one repeated send if `daemons` that share the budget leave one.
    pub fn try_repeat(&mut self, now: BootTime, daemons: usize) -> bool {
        self.forget(now);
        let all = count(self.firsts.len()) * self.share + self.extra / count(daemons.max(1));
        let is_left = count(self.repeats.len()) + 1.0 <= all * USED_PART;
        if is_left {
            self.repeats.push_back(now);
        }
        is_left
    }

    fn forget(&mut self, now: BootTime) {
        let from = now.saturating_sub(self.window);
        for times in [&mut self.firsts, &mut self.repeats] {
            while times.front().is_some_and(|at| *at < from) {
                times.pop_front();
            }
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn count(n: usize) -> f64 {
    n as f64
}
