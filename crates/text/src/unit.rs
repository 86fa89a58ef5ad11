//! Quantities written as strings with a unit: sizes, percentages and durations.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Units of sizes, in bytes.
const SIZE_UNITS: [(&str, u64); 9] = [
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("TiB", 1 << 40),
    ("KB", 1_000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("TB", 1_000_000_000_000),
    ("B", 1),
];

/// Maximum number of digits in front of a unit.
const MAX_DIGITS: usize = 9;

/// Size in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Bytes(pub u64);

impl Bytes {
    /// Size in mebibytes, rounded up.
    pub fn mebibytes(self) -> u64 {
        self.0.div_ceil(1 << 20)
    }

    /// Parses a size such as `16GB`.
    pub fn parse(text: &str) -> Option<Bytes> {
        let (digits, unit) = split_unit(text)?;
        let (_, scale) = SIZE_UNITS.iter().find(|(name, _)| *name == unit)?;
        digits.parse::<u64>().ok()?.checked_mul(*scale).map(Bytes)
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let exact = |scale: &u64| self.0 != 0 && self.0.is_multiple_of(*scale);
        let unit =
            SIZE_UNITS.iter().filter(|(_, scale)| exact(scale)).max_by_key(|(_, scale)| *scale);
        let (name, scale) = unit.copied().unwrap_or(("B", 1));
        write!(f, "{}{name}", self.0 / scale)
    }
}

/// Fraction from 0 to 1, in millionths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Share(pub u32);

impl Share {
    /// 100%.
    pub const WHOLE: Share = Share(1_000_000);

    /// The share as a number from 0 to 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Share::WHOLE.0)
    }

    /// Parses a percentage such as `99.95%`, with at most four decimals.
    pub(crate) fn parse(text: &str) -> Option<Share> {
        let number = text.strip_suffix('%')?;
        let (whole, part) = number.split_once('.').unwrap_or((number, "0"));
        let digits = |s: &str, max| (1..=max).contains(&s.len()) && all_digits(s);
        if !digits(whole, 3) || !digits(part, 4) {
            return None;
        }
        let whole: u32 = whole.parse().ok()?;
        let part: u32 = format!("{part:0<4}").parse().ok()?;
        let share = Share(whole * 10_000 + part);
        (share <= Share::WHOLE).then_some(share)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = self.0 / 10_000;
        let part = format!("{:04}", self.0 % 10_000);
        match part.trim_end_matches('0') {
            "" => write!(f, "{whole}%"),
            part => write!(f, "{whole}.{part}%"),
        }
    }
}

/// Parses a duration with one unit, such as `250ms`.
pub(crate) fn parse_duration(text: &str) -> Option<Duration> {
    let (_, unit) = split_unit(text)?;
    let known = ["us", "ms", "s", "m", "h"].contains(&unit);
    if known { humantime::parse_duration(text).ok() } else { None }
}

/// Formats a duration. [`parse_duration`] reads the result if it has only one unit.
pub(crate) fn format_duration(span: Duration) -> String {
    humantime::format_duration(span).to_string().replace(' ', "")
}

/// Splits a quantity into its digits and its unit.
fn split_unit(text: &str) -> Option<(&str, &str)> {
    let end = text.bytes().take_while(u8::is_ascii_digit).count();
    (1..=MAX_DIGITS).contains(&end).then(|| text.split_at(end))
}

fn all_digits(text: &str) -> bool {
    text.bytes().all(|b| b.is_ascii_digit())
}
