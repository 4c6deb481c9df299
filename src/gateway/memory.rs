//! Accounts for the memory that requests and answers in progress take.
//!
//! Load pattern: many callers send the largest bodies that the limits allow, targets send
//! answers without end, and callers do not read theirs, all at the same time. Each of these
//! is within its own limit, but together they exceed the memory of the process, and its end
//! breaks all other requests.
//!
//! Memory is taken before bytes are read. Requests, bodies and answers have separate pools:
//! large bodies do not keep out small requests, and an answer never waits for the memory of
//! bodies that are held until answers end.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Memory taken for each request while it is in progress, in bytes: its head, its tasks, its
/// connections' buffers, and a body, an answer or events that are small. Few requests have
/// the most of all of these at once.
pub const REQUEST_BYTES: usize = 32 * 1024;
/// Size up to which a body, an answer or an event needs no memory of its own, in bytes.
pub const SMALL_BYTES: usize = 8 * 1024;
/// Maximum size of the events that wait for a caller, in bytes, apart from a single one that
/// is larger.
pub const EVENT_QUEUE_BYTES: usize = 16 * 1024;

/// Share of the process's memory for [`REQUEST_BYTES`] of all requests.
const REQUESTS_SHARE: f64 = 0.28;
/// Share of the process's memory for request bodies over [`SMALL_BYTES`].
const BODIES_SHARE: f64 = 0.23;
/// Share of the process's memory for answers and events over [`SMALL_BYTES`]. The rest is for
/// control state and for what the allocator and the operating system add.
const ANSWERS_SHARE: f64 = 0.125;
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
        let [requests, bodies, answers] = pool_sizes(memory_mb).map(MemoryPool::new);
        Self {
            requests,
            bodies,
            answers,
        }
    }

    /// Adapts the pools to a changed amount of memory, in MB. A pool that shrinks does so as
    /// its memory is returned.
    pub fn resize(&self, memory_mb: u64) {
        let pools = [&self.requests, &self.bodies, &self.answers];
        for (pool, size) in pools.into_iter().zip(pool_sizes(memory_mb)) {
            pool.resize(size);
        }
    }
}

fn pool_sizes(memory_mb: u64) -> [usize; 3] {
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
    let bytes = memory_mb as f64 * BYTES_PER_MB;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "not negative, and saturates"
    )]
    let size = |share: f64| (bytes * share) as usize;
    [REQUESTS_SHARE, BODIES_SHARE, ANSWERS_SHARE].map(size)
}

/// A number of bytes from which grants are taken. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryPool {
    free: Arc<Semaphore>,
    size: Arc<AtomicUsize>,
}

impl MemoryPool {
    /// Creates a pool of `size` bytes.
    #[must_use]
    pub fn new(size: usize) -> Self {
        let size = size.min(Semaphore::MAX_PERMITS);
        Self {
            free: Arc::new(Semaphore::new(size)),
            size: Arc::new(AtomicUsize::new(size)),
        }
    }

    /// Returns the size of the pool, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.size.load(Ordering::Relaxed)
    }

    /// Returns how many bytes are taken.
    #[must_use]
    pub fn taken(&self) -> usize {
        self.size().saturating_sub(self.free.available_permits())
    }

    /// Takes `bytes`; `None` if there is less left.
    #[must_use]
    pub fn try_take(&self, bytes: usize) -> Option<MemoryGrant> {
        let permits = u32::try_from(bytes).ok()?;
        let permit = self.free.clone().try_acquire_many_owned(permits).ok()?;
        Some(MemoryGrant(Some(permit)))
    }

    /// Waits until `bytes` can be taken, in the order of the calls; `None` if the pool is
    /// smaller than that.
    pub async fn take(&self, bytes: usize) -> Option<MemoryGrant> {
        if bytes > self.size() {
            return None;
        }
        let permits = u32::try_from(bytes).ok()?;
        let permit = self.free.clone().acquire_many_owned(permits).await.ok()?;
        Some(MemoryGrant(Some(permit)))
    }

    fn resize(&self, size: usize) {
        let size = size.min(Semaphore::MAX_PERMITS);
        let old_size = self.size.swap(size, Ordering::Relaxed);
        self.free.add_permits(size.saturating_sub(old_size));
        let Ok(removed) = u32::try_from(old_size.saturating_sub(size)) else {
            return;
        };
        let free = self.free.clone();
        tokio::spawn(async move {
            if let Ok(permits) = free.acquire_many_owned(removed).await {
                permits.forget();
            }
        });
    }
}

/// Bytes taken from a [`MemoryPool`]; returned on drop.
#[derive(Debug, Default)]
pub struct MemoryGrant(Option<OwnedSemaphorePermit>);

impl MemoryGrant {
    /// Returns the number of bytes taken.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.0.as_ref().map_or(0, OwnedSemaphorePermit::num_permits)
    }

    /// Takes or returns bytes of `pool` so that this grant is for `bytes`. Returns `false`,
    /// without a change, if there is too little left.
    #[must_use]
    pub fn try_resize(&mut self, pool: &MemoryPool, bytes: usize) -> bool {
        let missing = self.shrink(bytes);
        missing == 0 || self.extend(pool.try_take(missing))
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
        if bytes < has {
            drop(self.0.as_mut().and_then(|permit| permit.split(has - bytes)));
        }
        bytes.saturating_sub(has)
    }

    /// Adds another grant of the same pool, if there is one.
    fn extend(&mut self, more: Option<MemoryGrant>) -> bool {
        let Some(MemoryGrant(Some(more))) = more else {
            return false;
        };
        match &mut self.0 {
            Some(permit) => permit.merge(more),
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
