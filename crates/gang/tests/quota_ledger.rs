//! Parts of a quota never add up to more than the quota.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use gang::Ledger;
use gang::QuotaError;
use model::AccountId;
use model::ShardId;

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(21),
        cases: 256,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn parts_stay_within_the_quota(moves in prop::collection::vec((0_u32..5, 0_u32..60), 1..80)) {
        let account = AccountId::new("mill");
        let mut ledger = Ledger::default();
        ledger.set_quota(&account, 100);
        for (shard, wanted) in moves {
            let shard = ShardId::new(&format!("s{shard}"));
            let before = ledger.parts(&account).cloned().unwrap_or_default();
            let has = before.shards.get(&shard).copied().unwrap_or(0);
            let moved = ledger.set_part(&account, &shard, wanted);
            let fits = wanted <= has || wanted - has <= before.ungranted();
            prop_assert_eq!(moved.is_ok(), fits);
            let parts = ledger.parts(&account).cloned().unwrap_or_default();
            prop_assert!(parts.shards.values().sum::<u32>() <= 100);
            if moved.is_err() {
                prop_assert_eq!(parts, before);
            }
        }
    }
}

#[test]
fn smaller_quota_gives_nobody_more() {
    let account = AccountId::new("mill");
    let shard = ShardId::new("a");
    let mut ledger = Ledger::default();
    ledger.set_quota(&account, 100);
    ledger.set_part(&account, &shard, 80).expect("the quota holds it");
    ledger.set_quota(&account, 50);
    let more = ledger.set_part(&account, &ShardId::new("b"), 1);
    assert!(matches!(more, Err(QuotaError::Exhausted { spare: 0, .. })), "{more:?}");
    ledger.set_part(&account, &shard, 40).expect("a part may always be given back");
    ledger.set_part(&account, &ShardId::new("b"), 10).expect("ten are left");
    assert_eq!(ledger.grants(&shard)[0].accelerators, 40);
}

#[test]
fn accounts_without_quota_get_nothing() {
    let mut ledger = Ledger::default();
    let moved = ledger.set_part(&AccountId::new("mill"), &ShardId::new("a"), 1);
    assert!(matches!(moved, Err(QuotaError::NoAccount { .. })), "{moved:?}");
}
