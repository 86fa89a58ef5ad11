//! Buddy tree of available accelerators.
//!
//! The tree keeps a mask of available accelerators for each worker position, and for each level the
//! set of maximal available blocks: aligned blocks that are completely available and whose buddy is
//! not. A change at one worker takes time logarithmic in the number of workers.

use std::collections::BTreeSet;

/// Buddy tree over a power-of-two number of worker positions.
#[derive(Clone, Debug)]
pub(crate) struct BuddyTree {
    width: u32,
    height: u32,
    masks: Vec<u64>,
    whole: Vec<bool>,
    blocks: Vec<BTreeSet<u32>>,
}

/// Smallest `level` with `2^level >= count`.
pub(crate) fn level_of(count: u32) -> u32 {
    count.max(1).next_power_of_two().trailing_zeros()
}

/// Mask of the `count` lowest bits.
pub(crate) fn low_bits(count: u32) -> u64 {
    if count >= u64::BITS { u64::MAX } else { (1 << count) - 1 }
}

impl BuddyTree {
    /// Creates a tree of `2^height` worker positions with `2^width` accelerators each, none
    /// available.
    pub(crate) fn new(width: u32, height: u32) -> BuddyTree {
        let positions = 1_usize << height;
        BuddyTree {
            width,
            height,
            masks: vec![0; positions],
            whole: vec![false; 2 * positions],
            blocks: vec![BTreeSet::new(); (width + height + 1) as usize],
        }
    }

    /// Level of a complete worker.
    pub(crate) fn width(&self) -> u32 {
        self.width
    }

    /// Level of the whole tree.
    pub(crate) fn top(&self) -> u32 {
        self.width + self.height
    }

    /// Mask of the available accelerators of the worker at `position`.
    pub(crate) fn mask(&self, position: u32) -> u64 {
        self.masks[position as usize]
    }

    /// Maximal available blocks of a level, by the address of their first accelerator.
    pub(crate) fn blocks(&self, level: u32) -> &BTreeSet<u32> {
        &self.blocks[level as usize]
    }

    /// Number of maximal available blocks by level.
    pub(crate) fn block_counts(&self) -> Vec<u32> {
        self.blocks.iter().map(|set| set.len() as u32).collect()
    }

    /// Number of available accelerators.
    pub(crate) fn available(&self) -> u32 {
        let sizes = self.blocks.iter().enumerate();
        sizes.map(|(level, set)| (set.len() as u32) << level).sum()
    }

    /// Sets the mask of available accelerators of the worker at `position`.
    pub(crate) fn set(&mut self, position: u32, mask: u64) {
        if self.masks[position as usize] == mask {
            return;
        }
        self.detach(position);
        self.masks[position as usize] = mask;
        self.update_ancestors(position);
        self.attach(position);
    }

    fn leaf(&self, position: u32) -> usize {
        (1 << self.height) + position as usize
    }

    fn full_mask(&self) -> u64 {
        low_bits(1 << self.width)
    }

    fn first_accelerator(&self, node: usize, level: u32) -> u32 {
        let row = level - self.width;
        let index = node - (1 << (self.height - row));
        (index << level) as u32
    }

    fn detach(&mut self, position: u32) {
        let leaf = self.leaf(position);
        if !self.whole[leaf] {
            self.toggle_sub_blocks(position, false);
            return;
        }
        let mut node = leaf;
        let mut level = self.width;
        while node > 1 && self.whole[node >> 1] {
            let buddy = self.first_accelerator(node ^ 1, level);
            self.blocks[level as usize].insert(buddy);
            node >>= 1;
            level += 1;
        }
        let first = self.first_accelerator(node, level);
        let removed = self.blocks[level as usize].remove(&first);
        assert!(removed, "block {first} of level {level} is missing");
    }

    fn attach(&mut self, position: u32) {
        let leaf = self.leaf(position);
        if !self.whole[leaf] {
            self.toggle_sub_blocks(position, true);
            return;
        }
        let mut node = leaf;
        let mut level = self.width;
        while node > 1 && self.whole[node ^ 1] {
            let buddy = self.first_accelerator(node ^ 1, level);
            let removed = self.blocks[level as usize].remove(&buddy);
            assert!(removed, "block {buddy} of level {level} is missing");
            node >>= 1;
            level += 1;
        }
        let first = self.first_accelerator(node, level);
        self.blocks[level as usize].insert(first);
    }

    fn update_ancestors(&mut self, position: u32) {
        let mut node = self.leaf(position);
        self.whole[node] = self.masks[position as usize] == self.full_mask();
        while node > 1 {
            node >>= 1;
            self.whole[node] = self.whole[2 * node] && self.whole[2 * node + 1];
        }
    }

    fn toggle_sub_blocks(&mut self, position: u32, insert: bool) {
        let mut rest = self.masks[position as usize];
        let base = position << self.width;
        for level in (0..self.width).rev() {
            let size = 1_u32 << level;
            let bits = low_bits(size);
            for index in 0..(1 << (self.width - level)) {
                let block = bits << (index * size);
                if rest & block == block {
                    rest &= !block;
                    let first = base + index * size;
                    match insert {
                        true => self.blocks[level as usize].insert(first),
                        false => self.blocks[level as usize].remove(&first),
                    };
                }
            }
        }
    }
}
