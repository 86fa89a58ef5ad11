//! Evacuations as an entry VM learns of them from answers of the store.

use std::time::Duration;

use model::Time;
use node::evacuation::Evacuations;
use platform::store::Change;
use platform::store::Item;

const WAIT: Duration = Duration::from_millis(2_000);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn item(zone: &str, revision: u64) -> Item {
    let key = format!("op/evacuate/{zone}");
    Item { key, value: Ok(b"{}".to_vec()), revision, created: revision }
}

fn written(zone: &str, revision: u64) -> Change {
    Change::Written(item(zone, revision))
}

fn removed(zone: &str) -> Change {
    Change::Removed(format!("op/evacuate/{zone}"))
}

fn names(known: &Evacuations) -> Vec<String> {
    known.names().into_iter().collect()
}

/// Guards against an evacuation that is lost or never ends: of two calls in flight, the one with the
/// older answer was answered last.
#[test]
fn stale_answers() {
    let mut known = Evacuations::default();
    known.replace(&[], 100, at(1));
    known.apply(&[written("a", 101), removed("a")], 102, at(2), Duration::ZERO);
    known.apply(&[written("a", 101)], 101, at(2), Duration::ZERO);
    assert_eq!(names(&known), Vec::<String>::new(), "a lifted evacuation came back");
    known.apply(&[written("b", 103)], 103, at(3), Duration::ZERO);
    known.apply(&[written("a", 101), removed("a")], 102, at(3), Duration::ZERO);
    known.replace(&[], 102, at(3));
    assert_eq!(names(&known), ["b"], "an evacuation was lost");
    let all = [written("a", 101), removed("a"), written("b", 103), removed("b"), written("b", 105)];
    known.apply(&all, 105, at(4), Duration::ZERO);
    assert_eq!(names(&known), ["b"], "changes that are partly known");
    known.replace(&[item("c", 106)], 107, at(5));
    assert_eq!(names(&known), ["c"], "a read of all items replaces the known ones");
}

/// Guards against views that count as younger than they are: an answer with changes may have been on
/// its way for as long as the call took.
#[test]
fn confirmation_times() {
    let mut known = Evacuations::default();
    assert_eq!(known.confirmed_at(), None);
    known.replace(&[], 100, at(1_000));
    assert_eq!(known.confirmed_at(), Some(at(1_000)));
    known.apply(&[], 100, at(1_100), WAIT);
    assert_eq!(known.confirmed_at(), Some(at(3_100)), "the store waited in vain");
    known.apply(&[written("a", 101)], 101, at(3_200), WAIT);
    assert_eq!(known.confirmed_at(), Some(at(3_200)));
    known.apply(&[], 100, at(4_000), WAIT);
    assert_eq!(known.confirmed_at(), Some(at(3_200)), "an older answer confirms nothing");
}
