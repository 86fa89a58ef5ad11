//! Transitions of a valid chart, and rejection of invalid charts.

use strum::AsRefStr;
use strum::VariantArray;

use chart::Chart;
use chart::Error;
use chart::Machine;

const DOOR: &str = r#"{
    // A door that cannot be unlocked.
    "name": "door", "initial": "open", "states": {
        "open": { "on": { "close": "closed" } },
        "closed": { "on": { "open": "open", "lock": "locked" } },
        "locked": { "final": true }
    }
}"#;

#[derive(Clone, Copy, Debug, PartialEq, AsRefStr, VariantArray)]
#[strum(serialize_all = "snake_case")]
enum DoorState {
    Open,
    Closed,
    Locked,
}

#[derive(Clone, Copy, Debug, PartialEq, AsRefStr, VariantArray)]
#[strum(serialize_all = "snake_case")]
enum DoorEvent {
    Open,
    Close,
    Lock,
}

#[test]
fn valid_transitions() {
    let machine: Machine<DoorState, DoorEvent> = Machine::embedded(DOOR);
    let mut state = machine.initial();
    machine.advance(&mut state, DoorEvent::Close);
    machine.advance(&mut state, DoorEvent::Lock);
    assert_eq!(state, DoorState::Locked);
    assert!(machine.is_final(state));
    assert!(machine.step(state, DoorEvent::Open).is_err());
}

#[test]
fn invalid_charts() {
    let missing = DOOR.replace("\"closed\" }", "\"shut\" }");
    assert!(matches!(Chart::parse(&missing), Err(Error::NoSuchState { .. })));
    let unreachable = DOOR.replace("\"lock\": \"locked\"", "\"lock\": \"open\"");
    assert!(matches!(Chart::parse(&unreachable), Err(Error::Unreachable { .. })));
    let no_exit = DOOR.replace("{ \"final\": true }", "{}");
    assert!(matches!(Chart::parse(&no_exit), Err(Error::NoExit { .. })));
    assert!(matches!(Chart::parse("{"), Err(Error::Syntax { .. })));
}

#[test]
fn enum_mismatch() {
    let renamed = DOOR.replace("\"lock\":", "\"bolt\":");
    let chart = Chart::parse(&renamed).unwrap();
    assert!(matches!(Machine::<DoorState, DoorEvent>::new(&chart), Err(Error::Mismatch { .. })));
}
