//! Unsound charts are refused when they are loaded.

use strum::AsRefStr;
use strum::VariantArray;

use chart::Chart;
use chart::Error;
use chart::Machine;

const DOOR: &str = r#"{
    // A door that can be locked for good.
    "name": "door", "initial": "open", "states": {
        "open": { "on": { "close": "closed" } },
        "closed": { "on": { "open": "open", "lock": "locked" } },
        "locked": { "final": true }
    }
}"#;

#[derive(Clone, Copy, Debug, PartialEq, AsRefStr, VariantArray)]
#[strum(serialize_all = "snake_case")]
enum Door {
    Open,
    Closed,
    Locked,
}

#[derive(Clone, Copy, Debug, PartialEq, AsRefStr, VariantArray)]
#[strum(serialize_all = "snake_case")]
enum Push {
    Open,
    Close,
    Lock,
}

#[test]
fn legal_steps() {
    let machine: Machine<Door, Push> = Machine::embedded(DOOR);
    let mut state = machine.initial();
    machine.advance(&mut state, Push::Close);
    machine.advance(&mut state, Push::Lock);
    assert_eq!(state, Door::Locked);
    assert!(machine.is_final(state));
    assert!(machine.step(state, Push::Open).is_err());
}

#[test]
fn unsound_charts() {
    let missing = DOOR.replace("\"closed\" }", "\"shut\" }");
    assert!(matches!(Chart::parse(&missing), Err(Error::NoSuchState { .. })));
    let unreachable = DOOR.replace("\"lock\": \"locked\"", "\"lock\": \"open\"");
    assert!(matches!(Chart::parse(&unreachable), Err(Error::Unreachable { .. })));
    let stuck = DOOR.replace("{ \"final\": true }", "{}");
    assert!(matches!(Chart::parse(&stuck), Err(Error::NoExit { .. })));
    assert!(matches!(Chart::parse("{"), Err(Error::Syntax { .. })));
}

#[test]
fn enum_mismatch() {
    let renamed = DOOR.replace("\"lock\":", "\"bolt\":");
    let chart = Chart::parse(&renamed).unwrap();
    assert!(matches!(Machine::<Door, Push>::new(&chart), Err(Error::Mismatch { .. })));
}
