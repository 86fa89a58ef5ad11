//! Load pattern: callers arrive evenly through an outage of the store on all entry VMs. Each waits
//! for three seconds in all and tries again when the answer tells it to.

use std::time::Duration;

use model::Time;
use node::outage::Choice;
use node::outage::Outage;

/// Time for which a caller tries.
const PATIENCE_MS: u64 = 3_000;
/// Part of that time reserved for sending the answer.
const ANSWER_MARGIN_MS: u64 = 150;
/// Maximum number of further tries of a caller.
const MAX_RETRIES: u32 = 4;
/// Time for a caller to open a connection to another VM.
const RECONNECT_MS: u64 = 60;
/// Time that forwarding to the peers takes while they have lost the store.
const FORWARD_MS: u64 = 150;

/// How a caller fared.
struct Caller {
    arrived: u64,
    /// When its job was stored.
    served: Option<u64>,
    /// Longest time for which a VM held it, in percent of the time that it had left.
    longest_hold: u64,
}

fn millis(time: Time) -> u64 {
    time.micros().div_ceil(1_000)
}

/// Plays one caller against VMs that all lose the store from `lost` to `back`.
fn play(arrived: u64, lost: u64, back: u64) -> Caller {
    let end = arrived + PATIENCE_MS;
    let mut now = arrived;
    let mut longest_hold = 0;
    for _ in 0..=MAX_RETRIES {
        let (started, deadline) = (now, end.saturating_sub(ANSWER_MARGIN_MS));
        let mut forwarded = false;
        let seconds = loop {
            let known = Outage {
                lost: (lost <= now && now < back).then(|| Time::from_millis(lost)),
                peers_lost: (now > lost + FORWARD_MS).then(|| Time::from_millis(now)),
            };
            let (start, limit) = (Time::from_millis(started), Time::from_millis(deadline));
            match known.choose(Time::from_millis(now), start, limit, forwarded) {
                Choice::Serve => return Caller { arrived, served: Some(now), longest_hold },
                Choice::Forward => {
                    forwarded = true;
                    now += FORWARD_MS;
                }
                Choice::Hold(until) => now = millis(until).min(back.max(now)),
                Choice::Refuse(seconds) => break seconds,
            }
        };
        longest_hold = longest_hold.max((now - started) * 100 / (end - started).max(1));
        now += RECONNECT_MS + seconds * 1_000;
        if now >= end {
            break;
        }
    }
    Caller { arrived, served: None, longest_hold }
}

/// Callers whose time reaches beyond the outage are served as soon as the store is back.
#[test]
fn short_outage() {
    let (lost, back) = (1_000, 5_200);
    let callers: Vec<Caller> = (0..120).map(|n| play(1_000 + n * 50, lost, back)).collect();
    for caller in &callers {
        let reaches = caller.arrived + PATIENCE_MS - ANSWER_MARGIN_MS > back + 200;
        let delay = caller.served.map(|at| at.saturating_sub(back.max(caller.arrived)));
        assert!(
            !reaches || delay.is_some_and(|delay| delay <= 150),
            "the caller that arrived at {} was served {delay:?} ms after the return",
            caller.arrived
        );
        assert!(caller.longest_hold <= 60, "held for {} percent", caller.longest_hold);
    }
}

/// In a long outage, callers are refused at once and told to come back later.
#[test]
fn long_outage() {
    let outage = Outage { lost: Some(Time::ZERO), peers_lost: Some(Time::from_millis(30_000)) };
    let now = Time::from_millis(30_100);
    let deadline = now + Duration::from_millis(PATIENCE_MS);
    assert_eq!(outage.choose(now, now, deadline, false), Choice::Refuse(1));
}

/// A VM that has lost the store alone forwards, unless the caller's time is nearly over: a write
/// that is still under way then could only be answered as unknown.
#[test]
fn lone_loss() {
    let outage = Outage { lost: Some(Time::ZERO), peers_lost: None };
    let now = Time::from_millis(500);
    let soon = now + Duration::from_millis(100);
    let later = now + Duration::from_millis(2_000);
    assert_eq!(outage.choose(now, now, later, false), Choice::Forward);
    assert!(matches!(outage.choose(now, now, soon, false), Choice::Hold(_)));
}
