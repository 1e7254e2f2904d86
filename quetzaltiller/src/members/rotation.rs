//! Order in which peers are called if they are too many for one round.

use super::target::Target;

/// Position in the rotation of peers, which are ordered by address.
#[derive(Debug, Default)]
pub struct Rotation {
    /// Address of the last peer called.
    last: String,
}

impl Rotation {
    /// Returns the next `count` of `targets`, or all if there are no more than that.
    pub fn next<'a>(&mut self, mut targets: Vec<&'a Target>, count: usize) -> Vec<&'a Target> {
        if targets.len() <= count {
            return targets;
        }
        targets.sort_unstable_by(|a, b| a.address.cmp(&b.address));
        let start = targets.partition_point(|target| target.address <= self.last);
        let start = if start == targets.len() { 0 } else { start };
        targets.rotate_left(start);
        targets.truncate(count);
        if let Some(last) = targets.last() {
            self.last.clone_from(&last.address);
        }
        targets
    }
}
