//! Checks that the committed examples are valid and have the expected content.

use std::time::Duration;

use model::ServiceId;
use model::ZoneId;
use text::FleetSize;
use text::Text;
use text::WorkerSize;
use text::ZoneSize;

const GRAUDU: &str = include_str!("../../../examples/graudu-talons.jsonc");
const KIERRATYS: &str = include_str!("../../../examples/kierratyskontti.jsonc");
const ENTRY: &str = include_str!("../../../examples/entry.jsonc");

fn read(source: &str) -> Text {
    text::parse("example.jsonc", source).expect("the example is valid")
}

/// Fleet of 48 workers in three availability zones with two racks each.
fn example_fleet(cores: u32, memory_gib: u32) -> FleetSize {
    let worker =
        WorkerSize { accelerators: 8, millicores: cores * 1_000, memory_mib: memory_gib * 1_024 };
    let zone = ZoneSize { racks: 2, workers: 8, worker };
    let names = ["a", "b", "c"];
    FleetSize { zones: names.iter().map(|name| (ZoneId::from(*name), zone)).collect() }
}

#[test]
fn configurations_are_valid() {
    let graudu = read(GRAUDU);
    assert_eq!(graudu.services.len(), 5);
    assert_eq!(graudu.accounts.len(), 4);
    assert_eq!(graudu.services[&ServiceId::from("lots")].timeout, Duration::from_millis(300));
    let kierratys = read(KIERRATYS);
    assert_eq!(kierratys.services.len(), 4);
    assert_eq!(kierratys.accounts.len(), 4);
    assert_eq!(kierratys.pools["lajittelu"].slots, 8);
}

#[test]
fn guarantees_fit() {
    assert_eq!(text::check_guarantees(&read(GRAUDU), &example_fleet(128, 256)), []);
    assert_eq!(text::check_guarantees(&read(KIERRATYS), &example_fleet(32, 128)), []);
}

#[test]
fn settings_are_valid() {
    let settings = text::parse_settings("entry.jsonc", ENTRY).expect("the example is valid");
    assert_eq!(settings.vm.as_str(), "entry-1");
    assert_eq!(settings.listen.operators.port(), 8081);
    assert_eq!(settings.limits.drain, Duration::from_secs(300));
}
