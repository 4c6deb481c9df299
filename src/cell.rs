//! Partitions the daemons of a region into cells of bounded size and assigns
//! each target an owning daemon.
//!
//! Both assignments use rendezvous hashing, so every daemon computes the same
//! result from the same list of daemons.

use std::collections::BTreeMap;

use crate::wire::DaemonName;

/// Maximum number of daemons in a cell.
pub const MAX_CELL_SIZE: usize = 16;

/// Daemons of each cell, keyed by region and cell index.
pub type Cells<'a> = BTreeMap<(&'a str, usize), Vec<&'a str>>;

/// Returns the rendezvous-hashing weight of `member` for `key`; the member
/// with the highest weight is chosen.
#[must_use]
pub fn score(key: &str, member: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(member.as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}

/// Groups daemons, given as a map from name to region, into cells.
///
/// Daemons are assigned in order of name. Each one joins the highest-scoring
/// cell of its region that is not full, so every daemon computes the same
/// cells.
#[must_use]
pub fn cells_of(daemons: &BTreeMap<DaemonName, Box<str>>) -> Cells<'_> {
    let mut cells = Cells::new();
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for region in daemons.values() {
        *counts.entry(region).or_default() += 1;
    }
    for (name, region) in daemons {
        let count = counts[&**region];
        let weight = |i: &usize| score(&format!("{region}/{i}"), name);
        let is_not_full =
            |i: &usize| cells.get(&(&**region, *i)).map_or(0, Vec::len) < MAX_CELL_SIZE;
        let available = (0..count.div_ceil(MAX_CELL_SIZE)).filter(is_not_full);
        if let Some(i) = available.max_by_key(weight) {
            cells.entry((region, i)).or_default().push(name);
        }
    }
    cells
}

/// Returns the daemon among `daemons` that owns a target: the highest-scoring
/// one of the target's cell.
///
/// Targets of a region without a daemon belong to the next region by name,
/// wrapping around, so that each target has an owner as long as there is any
/// daemon.
#[must_use]
pub fn owner_of<'a>(
    target: &str,
    region: &str,
    daemons: &'a BTreeMap<DaemonName, Box<str>>,
) -> Option<&'a str> {
    owner_in(&cells_of(daemons), target, region)
}

/// Returns the owner of a target like [`owner_of`], from cells that are
/// already computed.
#[must_use]
pub fn owner_in<'a>(cells: &Cells<'a>, target: &str, region: &str) -> Option<&'a str> {
    let mut regions: Vec<&str> = cells.keys().map(|(r, _)| *r).collect();
    regions.dedup();
    let index = regions.partition_point(|r| *r < region);
    let owning_region = *regions.get(index).or(regions.first())?;
    let candidates = cells.iter().filter(|((r, _), _)| *r == owning_region);
    let (_, members) = candidates.max_by_key(|((r, i), _)| score(target, &format!("{r}/{i}")))?;
    members.iter().copied().max_by_key(|m| score(target, m))
}
