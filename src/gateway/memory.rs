//! Accounts for the memory that requests and answers in progress take.
//!
//! Load pattern: many callers send the largest bodies that the limits allow, targets send
//! answers without end, and callers do not read theirs, all at the same time. Each of these
//! is within its own limit, but together they exceed the memory of the process, and its end
//! breaks all other requests.
//!
//! Memory is taken before bytes are read. Requests, bodies and answers have separate pools that
//! lend each other what they do not use, apart from a part that each keeps: large bodies do not
//! keep out small requests, nor answers, for whose ends they are held.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::Notify;

/// Memory taken for each request while it is in progress, in bytes: its head, its tasks, its
/// connections' buffers, and a body, an answer or events that are small. Few requests have
/// the most of all of these at once.
pub const REQUEST_BYTES: usize = 32 * 1024;
/// Size up to which a body, an answer or an event needs no memory of its own, in bytes.
pub const SMALL_BYTES: usize = 8 * 1024;
/// Maximum size of the events that wait for a caller, in bytes, apart from a single one that
/// is larger.
pub const EVENT_QUEUE_BYTES: usize = 16 * 1024;

/// Share of the process's memory for all pools. The rest is for control state, heads that are
/// not complete, bytes that wait in sockets, and what the allocator adds. With 0.5, all kinds of
/// excessive clients at once took 88.6 to 95.9 MB of 88.
const TOTAL_SHARE: f64 = 0.42;
/// Share that is kept for each pool, whatever the others take: requests, bodies, answers. They
/// share the rest, so that idle pools lend to busy ones. Answers are kept the most: their
/// requests have run, and their bodies are held until they end.
const KEPT_SHARES: [f64; POOLS] = [0.08, 0.05, 0.06];
const POOLS: usize = 3;
const REQUESTS: usize = 0;
const BODIES: usize = 1;
const ANSWERS: usize = 2;
/// Least memory of a process, in MB: with less, a request with a body and an answer of 4 MiB
/// each would not fit even if it is the only one.
pub const MIN_MEMORY_MB: u64 = 25;
const BYTES_PER_MB: f64 = 1e6;

/// Memory for requests and answers.
#[derive(Clone, Debug)]
pub struct MemoryPools {
    /// Memory of requests apart from what follows.
    pub requests: MemoryPool,
    /// Memory of request bodies.
    pub bodies: MemoryPool,
    /// Memory of answers and of single events.
    pub answers: MemoryPool,
}

impl MemoryPools {
    /// Divides the memory of a process, in MB.
    #[must_use]
    pub fn new(memory_mb: u64) -> Self {
        let (total, kept) = pool_sizes(memory_mb);
        let shared = Arc::new(SharedMemory::new(total, kept.into()));
        let pool = |index| MemoryPool::of(&shared, index);
        Self {
            requests: pool(REQUESTS),
            bodies: pool(BODIES),
            answers: pool(ANSWERS),
        }
    }

    /// Adapts the pools to a changed amount of memory, in MB. Pools that shrink do so as their
    /// memory is returned.
    pub fn resize(&self, memory_mb: u64) {
        let (total, kept) = pool_sizes(memory_mb);
        let shared = &self.requests.shared;
        let mut state = shared.state();
        state.total = total;
        for (pool, kept) in state.pools.iter_mut().zip(kept) {
            pool.kept = kept;
        }
        drop(state);
        shared.freed.notify_waiters();
    }
}

/// Returns the size of all pools together, and what is kept for each.
fn pool_sizes(memory_mb: u64) -> (usize, [usize; POOLS]) {
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
    let bytes = memory_mb as f64 * BYTES_PER_MB;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "not negative, and saturates"
    )]
    let size = |share: f64| (bytes * share) as usize;
    (size(TOTAL_SHARE), KEPT_SHARES.map(size))
}

/// Memory that several pools share.
#[derive(Debug)]
struct SharedMemory {
    state: Mutex<SharedState>,
    freed: Notify,
}

#[derive(Debug)]
struct SharedState {
    total: usize,
    pools: Vec<PoolState>,
}

#[derive(Debug, Default)]
struct PoolState {
    /// Bytes that other pools leave.
    kept: usize,
    taken: usize,
    /// Bytes that the first waiting call wants.
    wanted: usize,
    /// Number of waiting calls.
    waiting: usize,
}

impl SharedMemory {
    fn new(total: usize, kept: Vec<usize>) -> Self {
        let pools = kept.into_iter().map(|kept| PoolState {
            kept,
            ..PoolState::default()
        });
        Self {
            state: Mutex::new(SharedState {
                total,
                pools: pools.collect(),
            }),
            freed: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, SharedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SharedState {
    /// Returns the most that a pool may take while the others are idle.
    fn size(&self, index: usize) -> usize {
        let others = self.pools.iter().enumerate().filter(|(i, _)| *i != index);
        let kept: usize = others.map(|(_, pool)| pool.kept).sum();
        self.total.saturating_sub(kept)
    }

    /// Takes `bytes` for a pool: of what is kept for it, or of what the others leave. Those keep
    /// their part, and answers also what they wait for.
    fn try_take(&mut self, index: usize, bytes: usize) -> bool {
        let used = self.pools.iter().enumerate().map(|(i, pool)| {
            if i == index {
                return pool.taken;
            }
            let wanted = if i == ANSWERS { pool.wanted } else { 0 };
            pool.kept.max(pool.taken + wanted)
        });
        let has_room = used.sum::<usize>().saturating_add(bytes) <= self.total;
        let pool = &mut self.pools[index];
        let taken = pool.taken.saturating_add(bytes);
        if has_room || taken <= pool.kept {
            pool.taken = taken;
            return true;
        }
        false
    }
}

/// A number of bytes from which grants are taken. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryPool {
    shared: Arc<SharedMemory>,
    index: usize,
    /// Held by the first waiting call.
    turn: Arc<tokio::sync::Mutex<()>>,
}

impl MemoryPool {
    /// Creates a pool of `size` bytes that shares none.
    #[must_use]
    pub fn new(size: usize) -> Self {
        Self::of(&Arc::new(SharedMemory::new(size, vec![0])), 0)
    }

    fn of(shared: &Arc<SharedMemory>, index: usize) -> Self {
        Self {
            shared: shared.clone(),
            index,
            turn: Arc::default(),
        }
    }

    /// Returns the most bytes that can be taken while other pools are idle.
    #[must_use]
    pub fn size(&self) -> usize {
        self.shared.state().size(self.index)
    }

    /// Returns how many bytes are taken.
    #[must_use]
    pub fn taken(&self) -> usize {
        self.shared.state().pools[self.index].taken
    }

    /// Takes `bytes`; `None` if there is less left, or if others wait for it.
    #[must_use]
    pub fn try_take(&self, bytes: usize) -> Option<MemoryGrant> {
        let mut state = self.shared.state();
        let is_free = state.pools[self.index].waiting == 0 && state.try_take(self.index, bytes);
        drop(state);
        is_free.then(|| self.grant(bytes))
    }

    /// Does the same, but does not let waiting calls go first.
    #[must_use]
    pub fn try_take_first(&self, bytes: usize) -> Option<MemoryGrant> {
        let is_free = self.shared.state().try_take(self.index, bytes);
        is_free.then(|| self.grant(bytes))
    }

    /// Returns the number of calls that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.shared.state().pools[self.index].waiting
    }

    /// Waits until `bytes` can be taken, in the order of the calls; `None` if the pool is
    /// smaller than that.
    pub async fn take(&self, bytes: usize) -> Option<MemoryGrant> {
        if let Some(grant) = self.try_take(bytes) {
            return Some(grant);
        }
        let _waiting = Waiting::begin(self);
        let _turn = self.turn.lock().await;
        let _wanted = Wanted(self);
        loop {
            let freed = self.shared.freed.notified();
            {
                let mut state = self.shared.state();
                if bytes > state.size(self.index) {
                    return None;
                }
                if state.try_take(self.index, bytes) {
                    drop(state);
                    return Some(self.grant(bytes));
                }
                state.pools[self.index].wanted = bytes;
            }
            freed.await;
        }
    }

    fn grant(&self, bytes: usize) -> MemoryGrant {
        MemoryGrant(Some(Taken {
            pool: self.clone(),
            bytes,
        }))
    }
}

/// Counts a waiting call until it is dropped.
struct Waiting<'a>(&'a MemoryPool);

impl<'a> Waiting<'a> {
    fn begin(pool: &'a MemoryPool) -> Self {
        pool.shared.state().pools[pool.index].waiting += 1;
        Self(pool)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.shared.state().pools[self.0.index].waiting -= 1;
    }
}

/// Ends the claim of the first waiting call when it is dropped.
struct Wanted<'a>(&'a MemoryPool);

impl Drop for Wanted<'_> {
    fn drop(&mut self) {
        self.0.shared.state().pools[self.0.index].wanted = 0;
        self.0.shared.freed.notify_waiters();
    }
}

/// Bytes taken from a pool; returned on drop.
#[derive(Debug)]
struct Taken {
    pool: MemoryPool,
    bytes: usize,
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.pool.shared.state().pools[self.pool.index].taken -= self.bytes;
        self.pool.shared.freed.notify_waiters();
    }
}

/// Bytes taken from a [`MemoryPool`]; returned on drop.
#[derive(Debug, Default)]
pub struct MemoryGrant(Option<Taken>);

impl MemoryGrant {
    /// Returns the number of bytes taken.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.0.as_ref().map_or(0, |taken| taken.bytes)
    }

    /// Takes or returns bytes of `pool` so that this grant is for `bytes`. Returns `false`,
    /// without a change, if there is too little left.
    #[must_use]
    pub fn try_resize(&mut self, pool: &MemoryPool, bytes: usize) -> bool {
        let missing = self.shrink(bytes);
        missing == 0 || self.extend(pool.try_take(missing))
    }

    /// Does the same, but does not let waiting calls go first.
    #[must_use]
    pub fn try_resize_first(&mut self, pool: &MemoryPool, bytes: usize) -> bool {
        let missing = self.shrink(bytes);
        missing == 0 || self.extend(pool.try_take_first(missing))
    }

    /// Does the same as [`Self::try_resize`], but waits for bytes that are taken. Returns
    /// `false` only if the pool is smaller than that.
    pub async fn resize(&mut self, pool: &MemoryPool, bytes: usize) -> bool {
        let missing = self.shrink(bytes);
        missing == 0 || self.extend(pool.take(missing).await)
    }

    /// Returns what this grant has beyond `bytes` to the pool, and the number of bytes that
    /// it lacks.
    fn shrink(&mut self, bytes: usize) -> usize {
        let has = self.bytes();
        if let Some(taken) = self.0.as_mut().filter(|_| bytes < has) {
            taken.bytes = bytes;
            drop(taken.pool.grant(has - bytes));
        }
        bytes.saturating_sub(has)
    }

    /// Adds another grant of the same pool, if there is one.
    fn extend(&mut self, more: Option<MemoryGrant>) -> bool {
        let Some(MemoryGrant(Some(mut more))) = more else {
            return false;
        };
        match &mut self.0 {
            // What is merged is returned with this grant.
            Some(taken) => taken.bytes += std::mem::take(&mut more.bytes),
            None => self.0 = Some(more),
        }
        true
    }

    /// Returns the same bytes, which return this grant once they are dropped.
    #[must_use]
    pub fn attach(self, bytes: Bytes) -> Bytes {
        attach(bytes, self)
    }
}

/// Returns the same bytes, which drop `guard` once they are dropped.
pub(crate) fn attach<G: Send + 'static>(bytes: Bytes, guard: G) -> Bytes {
    struct Guarded<G>(Bytes, G);
    impl<G> AsRef<[u8]> for Guarded<G> {
        fn as_ref(&self) -> &[u8] {
            &self.0
        }
    }
    Bytes::from_owner(Guarded(bytes, guard))
}
