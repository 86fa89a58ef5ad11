//! Verdicts of the ids of a home, in two bits per id. They outlive the kept answers.

use std::collections::BTreeMap;

use crate::LedgerBlock;
use crate::LedgerImage;
use model::Verdict;

const IDS_PER_WORD: u64 = 32;
const WORDS_PER_BLOCK: usize = 16;
const IDS_PER_BLOCK: u64 = IDS_PER_WORD * WORDS_PER_BLOCK as u64;

/// Mask of the low bit of each two-bit verdict.
const LOW_BITS: u64 = 0x5555_5555_5555_5555;

/// Status of an id in a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdStatus {
    /// The home never issued it.
    NotIssued,
    /// It is older than the oldest id in the ledger.
    TooOld,
    /// It was issued and is not settled.
    Unused,
    /// It is settled with this verdict.
    Settled(Verdict),
}

/// Verdicts of the ids of one home.
#[derive(Debug)]
pub(crate) struct Ledger {
    /// First sequence number that was not issued.
    issued: u64,
    /// First sequence number whose verdict is still kept.
    floor: u64,
    /// Number of ids whose verdicts are kept, at least.
    capacity: u64,
    /// Two-bit verdicts by block number; 0 means not settled.
    blocks: BTreeMap<u64, [u64; WORDS_PER_BLOCK]>,
}

impl Ledger {
    /// Creates an empty ledger that keeps the verdicts of the last `capacity` ids.
    pub(crate) fn new(capacity: u64) -> Ledger {
        Ledger { issued: 1, floor: 0, capacity, blocks: BTreeMap::new() }
    }

    /// Issues the next sequence number, from 1.
    pub(crate) fn issue(&mut self) -> u64 {
        let sequence = self.issued;
        self.issued += 1;
        if self.issued - self.floor > self.capacity + IDS_PER_BLOCK {
            self.floor += IDS_PER_BLOCK;
            self.blocks = self.blocks.split_off(&(self.floor / IDS_PER_BLOCK));
        }
        sequence
    }

    /// Status of an id.
    pub(crate) fn status(&self, sequence: u64) -> IdStatus {
        if sequence == 0 || sequence >= self.issued {
            return IdStatus::NotIssued;
        }
        if sequence < self.floor {
            return IdStatus::TooOld;
        }
        let (block, word, shift) = bit_position(sequence);
        let bits = self.blocks.get(&block).map_or(0, |words| (words[word] >> shift) & 3);
        match bits {
            0 => IdStatus::Unused,
            1 => IdStatus::Settled(Verdict::NotRun),
            2 => IdStatus::Settled(Verdict::Ran),
            _ => IdStatus::Settled(Verdict::Unknown),
        }
    }

    /// Records the verdict of an id.
    pub(crate) fn record_verdict(&mut self, sequence: u64, verdict: Verdict) {
        self.issued = self.issued.max(sequence + 1);
        if sequence < self.floor {
            return;
        }
        let bits = match verdict {
            Verdict::NotRun => 1,
            Verdict::Ran => 2,
            Verdict::Unknown => 3,
        };
        let (block, word, shift) = bit_position(sequence);
        let words = self.blocks.entry(block).or_default();
        words[word] = (words[word] & !(3 << shift)) | (bits << shift);
    }

    /// Clears the verdict of an id that no other entry VM ever owned.
    pub(crate) fn clear_verdict(&mut self, sequence: u64) {
        let (block, word, shift) = bit_position(sequence);
        if let Some(words) = self.blocks.get_mut(&block) {
            words[word] &= !(3 << shift);
        }
    }

    /// Merges the ledger that a home handed over; verdicts that are already recorded here win.
    pub(crate) fn merge(&mut self, image: &LedgerImage) {
        self.issued = self.issued.max(image.issued);
        self.floor = self.floor.max(image.floor);
        for block in &image.blocks {
            let words = self.blocks.entry(block.index).or_default();
            for (word, new) in words.iter_mut().zip(&block.words) {
                let low = (*word | *word >> 1) & LOW_BITS;
                *word |= *new & !(low | low << 1);
            }
        }
    }

    /// A copy of the ledger for the heir.
    pub(crate) fn image(&self) -> LedgerImage {
        let block = |(index, words): (&u64, &[u64; WORDS_PER_BLOCK])| LedgerBlock {
            index: *index,
            words: words.to_vec(),
        };
        let blocks = self.blocks.iter().map(block).collect();
        LedgerImage { issued: self.issued, floor: self.floor, blocks }
    }
}

/// Block, word in the block and shift in the word of the verdict of an id.
fn bit_position(sequence: u64) -> (u64, usize, u64) {
    let within = sequence % IDS_PER_BLOCK;
    let word = (within / IDS_PER_WORD) as usize;
    (sequence / IDS_PER_BLOCK, word, (within % IDS_PER_WORD) * 2)
}
