//! Cells: small groups of daemons of one region, and the owner of a target.

use std::collections::BTreeMap;

use crate::wire::DaemonName;

/// Most daemons in one cell.
pub const MAX_CELL: usize = 16;

/// Daemons of each cell.
pub type Cells<'a> = BTreeMap<(&'a str, usize), Vec<&'a str>>;

/// Weight of `member` for `key`; the highest wins (rendezvous hashing).
#[must_use]
pub fn score(key: &str, member: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(member.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Groups daemons, given with their regions, into cells.
///
/// Each daemon takes the cell of its region with the highest score that still
/// has room, in order of names, so that all daemons find the same cells.
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
        let has_room = |i: &usize| cells.get(&(&**region, *i)).map_or(0, Vec::len) < MAX_CELL;
        let open = (0..count.div_ceil(MAX_CELL)).filter(has_room);
        if let Some(i) = open.max_by_key(weight) {
            cells.entry((region, i)).or_default().push(name);
        }
    }
    cells
}

/// The owner of a target: the first live daemon of its cell by rendezvous.
///
/// A region without a live daemon falls to the next region by name, wrapping
/// around, so that each target has an owner while any daemon is alive.
#[must_use]
pub fn owner_of<'a>(
    target: &str,
    region: &str,
    daemons: &'a BTreeMap<DaemonName, Box<str>>,
) -> Option<&'a str> {
    owner_in(&cells_of(daemons), target, region)
}

/// As [`owner_of`], where the cells are known.
#[must_use]
pub fn owner_in<'a>(cells: &Cells<'a>, target: &str, region: &str) -> Option<&'a str> {
    let mut regions: Vec<&str> = cells.keys().map(|(r, _)| *r).collect();
    regions.dedup();
    let place = regions.partition_point(|r| *r < region);
    let home = *regions.get(place).or(regions.first())?;
    let members = cells.iter().filter(|((r, _), _)| *r == home);
    let (_, members) = members.max_by_key(|((r, i), _)| score(target, &format!("{r}/{i}")))?;
    members.iter().copied().max_by_key(|m| score(target, m))
}
