//! Orders what is learnt from the store when the store may be restored from an older copy.
//!
//! Load pattern: a restored store begins a new era. It has lost its last writes, and gives
//! their revisions out again. Within an era the store's revisions order all writes; between
//! eras they do not. A [`Revision`] in the gateway therefore holds the era in its upper bits:
//! positions in the store compare as plain numbers, and revisions of era 0 are the store's own,
//! so that messages of daemons that know no eras mean the same.
//!
//! An object that a restored store lists may have been written in any era up to the present
//! one. Only a change that a watch returns is certain to have been written in the era of the
//! watch; its revision is marked as such. A configuration replaces one of an earlier era if it
//! was certainly written in a later one, and otherwise only if the operator's version is newer.

use crate::platform::Revision;

/// Bits of the store's own revision: at 10,000 writes a second they last for 55 years.
const REVISION_BITS: u32 = 44;
/// Set if the object was certainly written in the era of its revision. Never set in era 0,
/// where it follows from the era.
const WRITTEN_IN_ERA: Revision = 1 << REVISION_BITS;
const ERA_SHIFT: u32 = REVISION_BITS + 1;
/// Largest era.
const MAX_ERA: u64 = u64::MAX >> ERA_SHIFT;

/// Returns the revision that orders a store's revision by its era first; `None` if either
/// number is too large.
#[must_use]
pub fn revision_in_era(era: u64, in_store: u64) -> Option<Revision> {
    let is_valid = era <= MAX_ERA && in_store < WRITTEN_IN_ERA;
    is_valid.then_some((era << ERA_SHIFT) | in_store)
}

/// Returns the store's own number of a revision.
#[must_use]
pub fn revision_in_store(revision: Revision) -> u64 {
    revision & (WRITTEN_IN_ERA - 1)
}

/// Returns the era of a revision.
#[must_use]
pub fn era_of(revision: Revision) -> u64 {
    revision >> ERA_SHIFT
}

/// Marks the revision of an object as that of a write in its era.
#[must_use]
pub fn mark_written_in_era(revision: Revision) -> Revision {
    if era_of(revision) == 0 {
        return revision;
    }
    revision | WRITTEN_IN_ERA
}

/// Returns whether an object was certainly written in the era of its revision.
#[must_use]
pub fn is_written_in_era(revision: Revision) -> bool {
    era_of(revision) == 0 || revision & WRITTEN_IN_ERA != 0
}

/// Revision and operator's version of a configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigStamp {
    /// Revision, with the era.
    pub revision: Revision,
    /// The operator's version number.
    pub version: u64,
}

impl ConfigStamp {
    /// Returns whether a configuration replaces another one.
    ///
    /// Within an era the later write does. Of different eras, the one of the later era does if
    /// it was certainly written there. If not, it may be older than the other one, or the
    /// other one may have been lost, so the one with the newer version does.
    #[must_use]
    pub fn replaces(self, other: Self) -> bool {
        let (era, other_era) = (era_of(self.revision), era_of(other.revision));
        if era == other_era {
            return self.key_in_era() > other.key_in_era();
        }
        let (later, earlier) = if era > other_era {
            (self, other)
        } else {
            (other, self)
        };
        let later_wins = is_written_in_era(later.revision)
            || later.version_and_revision() > earlier.version_and_revision();
        later_wins == (era > other_era)
    }

    fn key_in_era(self) -> (u64, bool) {
        (
            revision_in_store(self.revision),
            is_written_in_era(self.revision),
        )
    }

    /// Of two equal versions, the one with the higher revision counts as newer.
    fn version_and_revision(self) -> (u64, u64) {
        (self.version, revision_in_store(self.revision))
    }
}
