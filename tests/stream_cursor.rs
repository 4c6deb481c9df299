//! Property tests of the stream cursor, resume tokens and the budget of extra runs.

use std::time::Duration;

use bluebelldrift::{Cursor, ResumeError, ResumeKeys, ResumePoint, RetryBudget, Verdict};
use proptest::prelude::*;

/// Names of targets and customers.
fn name() -> impl Strategy<Value = String> {
    "[A-Za-z0-9][A-Za-z0-9._-]{0,20}"
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x70_6b),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whichever tokens of whichever runs arrive, the tokens delivered are 0, 1, 2, ...
    /// of one run, and a restart succeeds only while nothing has been delivered.
    #[test]
    fn delivered_tokens_are_in_order_and_of_one_run(
        arrivals in prop::collection::vec((0..3_u8, 0..12_u64, prop::bool::weighted(0.1)), 0..200),
    ) {
        let mut cursor = Cursor::new("0");
        let mut delivered: Vec<(String, u64)> = Vec::new();
        for (run, index, is_restart) in arrivals {
            let run = run.to_string();
            if is_restart {
                prop_assert_eq!(cursor.restart(run.as_str()), delivered.is_empty());
            }
            let is_next = run == cursor.generation() && index == cursor.next();
            let verdict = cursor.accept(&run, index);
            prop_assert_eq!(verdict == Verdict::Deliver, is_next);
            if verdict == Verdict::Deliver {
                delivered.push((run, index));
            }
        }
        let expected = 0..delivered.len() as u64;
        prop_assert!(delivered.iter().map(|(_, i)| *i).eq(expected));
        prop_assert!(delivered.iter().all(|(run, _)| *run == delivered[0].0));
    }

    /// A resume token is accepted only unchanged, with the key that issued it, and from
    /// the customer for whom it was issued.
    #[test]
    fn resume_token_is_accepted_only_as_issued(
        generation in "[0-9a-f]{24}(-[0-9])?", target in name(), customer in name(),
        other_customer in name(), index in any::<u64>(), at in any::<prop::sample::Index>(),
    ) {
        let key = ResumeKeys::new("resume-key-of-the-tests");
        let prefix = key.prefix(&generation, &target, &customer);
        let token = format!("{prefix}.{index}");
        let point = ResumePoint {
            generation: generation.as_str().into(), target: target.as_str().into(), index,
        };
        prop_assert_eq!(key.check(&token, &customer), Ok(point));
        if other_customer != customer {
            prop_assert_eq!(key.check(&token, &other_customer), Err(ResumeError::Forged));
        }
        let other_key = ResumeKeys::new("another-key-of-the-tests");
        prop_assert_eq!(other_key.check(&token, &customer), Err(ResumeError::Forged));
        let mut bytes = prefix.to_string().into_bytes();
        let at = at.index(bytes.len());
        bytes[at] = if bytes[at] == b'0' { b'1' } else { b'0' };
        let changed = format!("{}.{index}", String::from_utf8(bytes).expect("the changed token is UTF-8"));
        prop_assert!(key.check(&changed, &customer).is_err());
    }

    #[test]
    fn arbitrary_text_is_rejected_as_a_resume_token(text in ".{0,80}") {
        prop_assert!(ResumeKeys::new("resume-key-of-the-tests").check(&text, "clinic").is_err());
    }

    /// Extra runs never exceed a twentieth of the requests plus the few that the budget
    /// allows without any request.
    #[test]
    fn extra_runs_stay_within_a_share_of_requests(
        steps in prop::collection::vec((any::<bool>(), 0..400_u64), 1..400),
    ) {
        let mut now = Duration::from_secs(1);
        let budget = RetryBudget::new(now);
        let (mut requests, mut spent) = (0_u64, 0_u64);
        for (is_request, ms) in steps {
            now += Duration::from_millis(ms);
            if is_request {
                requests += 1;
                budget.deposit();
            } else {
                spent += u64::from(budget.try_spend(now));
            }
            // 5 at the start and one more every two seconds, rounded up.
            let floor = 5 + (now.as_secs() - 1).div_ceil(2) + 1;
            prop_assert!(spent <= requests / 20 + floor, "{spent} of {requests}");
        }
    }
}
