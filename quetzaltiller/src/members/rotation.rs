//! Turns in which peers are called.

use super::target::Target;

/// Where the next turn begins, in the order of addresses.
#[derive(Debug, Default)]
pub struct Rotation {
    last: String,
}

impl Rotation {
    /// Next `count` of `targets`; all where there are no more.
    pub fn next<'a>(&mut self, mut targets: Vec<&'a Target>, count: usize) -> Vec<&'a Target> {
        if targets.len() <= count {
            return targets;
        }
        targets.sort_unstable_by(|a, b| a.address.cmp(&b.address));
        let from = targets.partition_point(|target| target.address <= self.last);
        let from = if from == targets.len() { 0 } else { from };
        targets.rotate_left(from);
        targets.truncate(count);
        if let Some(last) = targets.last() {
            self.last.clone_from(&last.address);
        }
        targets
    }
}
