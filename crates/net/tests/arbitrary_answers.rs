//! No answer brings the pool down, and none that is not whole counts as one.

mod raw;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use tokio::io::AsyncWriteExt;

use crate::raw::answer;
use crate::raw::backend;
use crate::raw::dispatch;
use crate::raw::header;
use crate::raw::pool;
use crate::raw::read;
use crate::raw::serve;
use model::Verdict;
use net::Outcome;
use net::pool::Config;

/// What a server makes of its answer.
#[derive(Clone, Debug)]
enum Damage {
    /// Sends these bytes in its place.
    Replace(Vec<u8>),
    /// Leaves out its end.
    Cut(prop::sample::Index),
    /// Overwrites one byte.
    Set(prop::sample::Index, u8),
}

fn damages() -> impl Strategy<Value = Damage> {
    prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..200).prop_map(Damage::Replace),
        any::<prop::sample::Index>().prop_map(Damage::Cut),
        (any::<prop::sample::Index>(), any::<u8>()).prop_map(|(at, byte)| Damage::Set(at, byte)),
    ]
}

fn damaged(damage: &Damage, text: String) -> Vec<u8> {
    let mut bytes = text.into_bytes();
    match damage {
        Damage::Replace(other) => return other.clone(),
        Damage::Cut(at) => bytes.truncate(at.index(bytes.len())),
        Damage::Set(at, byte) => {
            let at = at.index(bytes.len());
            bytes[at] = *byte;
        }
    }
    bytes
}

async fn outcome_of(damage: Damage) -> Outcome {
    let address = serve(move |mut stream, _| {
        let damage = damage.clone();
        async move {
            let request = read(&mut stream).await.unwrap();
            assert!(header(&request, "basilrack-request").is_some());
            // The pool may close the connection at the first wrong byte.
            let _ = stream.write_all(&damaged(&damage, answer(&request, "done"))).await;
        }
    })
    .await;
    let (pool, _signs) = pool(Config::default());
    let outcome = pool.run(dispatch(address, 1)).await;
    assert!(pool.open_count(&backend()) <= 1);
    outcome
}

#[test]
fn damaged_answers() {
    let config = ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        cases: 500,
        ..ProptestConfig::default()
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let result = TestRunner::new(config).run(&damages(), |damage| {
        let outcome = runtime.block_on(outcome_of(damage.clone()));
        let sent = outcome.verdict() != Verdict::NotRun;
        prop_assert!(sent, "the server saw the request: {outcome:?}");
        if let Damage::Cut(_) = damage {
            prop_assert_eq!(outcome.verdict(), Verdict::Unknown, "{:?}", outcome);
        }
        Ok(())
    });
    result.unwrap();
}
