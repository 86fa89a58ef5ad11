//! Request ids round-trip through their text form, and malformed texts are rejected.

use proptest::prelude::*;

use model::Incarnation;
use model::RequestId;

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn round_trip(home: u64, sequence: u64) {
        let id = RequestId { home: Incarnation(home), sequence };
        prop_assert_eq!(id.to_string().parse(), Ok(id));
    }

    #[test]
    fn arbitrary_id_length(text in "\\PC{0,40}") {
        if let Ok(id) = text.parse::<RequestId>() {
            prop_assert_eq!(id.to_string().to_lowercase().len() <= 37, true);
        }
    }
}

#[test]
fn malformed_ids() {
    for text in ["", ":", "1:1", "0000000000000001", "0000000000000001:", "0000000000000001:+1"] {
        assert!(text.parse::<RequestId>().is_err(), "{text:?} parsed");
    }
}
