//! No response makes the pool panic, and no truncated response counts as complete.

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

/// How a server corrupts its response.
#[derive(Clone, Debug)]
enum Corruption {
    /// Sends these bytes instead.
    Replace(Vec<u8>),
    /// Truncates the response.
    Truncate(prop::sample::Index),
    /// Overwrites one byte.
    Set(prop::sample::Index, u8),
}

fn corruptions() -> impl Strategy<Value = Corruption> {
    prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..200).prop_map(Corruption::Replace),
        any::<prop::sample::Index>().prop_map(Corruption::Truncate),
        (any::<prop::sample::Index>(), any::<u8>())
            .prop_map(|(at, byte)| Corruption::Set(at, byte)),
    ]
}

fn corrupt(corruption: &Corruption, text: String) -> Vec<u8> {
    let mut bytes = text.into_bytes();
    match corruption {
        Corruption::Replace(other) => return other.clone(),
        Corruption::Truncate(at) => bytes.truncate(at.index(bytes.len())),
        Corruption::Set(at, byte) => {
            let at = at.index(bytes.len());
            bytes[at] = *byte;
        }
    }
    bytes
}

async fn run_against(corruption: Corruption) -> Outcome {
    let address = serve(move |mut stream, _| {
        let corruption = corruption.clone();
        async move {
            let request = read(&mut stream).await.unwrap();
            assert!(header(&request, "basilrack-request").is_some());
            // The pool may close the connection at the first invalid byte.
            let _ = stream.write_all(&corrupt(&corruption, answer(&request, "done"))).await;
        }
    })
    .await;
    let (pool, _closed) = pool(Config::default());
    let outcome = pool.run(dispatch(address, 1)).await;
    assert!(pool.open_count(&backend()) <= 1);
    outcome
}

#[test]
fn corrupted_answers() {
    let config = ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        cases: 500,
        ..ProptestConfig::default()
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let result = TestRunner::new(config).run(&corruptions(), |corruption| {
        let outcome = runtime.block_on(run_against(corruption.clone()));
        let sent = outcome.verdict() != Verdict::NotRun;
        prop_assert!(sent, "the server saw the request: {outcome:?}");
        if let Corruption::Truncate(_) = corruption {
            prop_assert_eq!(outcome.verdict(), Verdict::Unknown, "{:?}", outcome);
        }
        Ok(())
    });
    result.unwrap();
}
