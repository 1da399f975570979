//! What the descriptors are for. One sum: `fixed` + `told` + `links` + `clients` is no more than there are.

/// How many descriptors each use may hold at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Standard streams, the poller's, signals', the listener, discovery (its connection and its successor),
    /// a file that is being read, the reserve that accepts and refuses when there is none left; and one spare.
    pub reserved: usize,
    /// Connections that hear a refusal.
    pub rejections: usize,
    pub searcher_connections: usize,
    pub client_connections: usize,
}

/// Counted on a running mixer: 3 streams, 3 of the poller, 4 of signals, 1 listener, 2 for discovery, 1 file,
/// 1 reserve; and 1 spare, for what the standard library opens for a moment.
const FIXED: usize = 16;
/// With fewer there is hardly a place for anybody.
const LEAST: usize = 24;

impl DescriptorBudget {
    /// Of what the orders tell and what the system allows the fewer: an operator may lower the one, the system's
    /// keeper the other. None where they are too few to serve.
    pub fn plan(stated: usize, allowed: Option<usize>) -> Option<Self> {
        let all = stated.min(allowed.unwrap_or(stated));
        // A thirty-second hears refusals: half a second each, past which the longest told goes.
        let told = (all / 32).clamp(2, 32);
        let rest = all.checked_sub(FIXED + told).filter(|_| all >= LEAST)?;
        // Searchers are few and clients many: two fifths for links, as each may need more than one.
        let links = (rest * 2 / 5).max(1);
        Some(Self {
            reserved: FIXED,
            rejections: told,
            searcher_connections: links,
            client_connections: rest - links,
        })
    }

    pub fn total(&self) -> usize {
        self.reserved + self.rejections + self.searcher_connections + self.client_connections
    }

    /// The clients' places while more links are held than are meant to be: one that closes takes its time, and
    /// its successor dials meanwhile. Those come before newcomers at the door.
    pub fn client_limit(&self, links_held: usize) -> usize {
        self.client_connections.saturating_sub(links_held.saturating_sub(self.searcher_connections)).max(1)
    }
}

#[cfg(test)]
mod tests {
    use super::DescriptorBudget;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

        #[test]
        fn the_sum_fits_whatever_there_is(stated in 0usize..200_000, allowed in proptest::option::of(0usize..200_000)) {
            let all = stated.min(allowed.unwrap_or(stated));
            match DescriptorBudget::plan(stated, allowed) {
                None => prop_assert!(all < 24),
                Some(plan) => {
                    prop_assert_eq!(plan.total(), all);
                    prop_assert!(plan.searcher_connections >= 1 && plan.client_connections >= 2 && plan.rejections >= 2);
                }
            }
        }

        #[test]
        fn links_that_close_take_the_places_of_newcomers(all in 24usize..5000, more in 0usize..5000) {
            let plan = DescriptorBudget::plan(all, None).unwrap();
            let places = plan.client_limit(plan.searcher_connections + more);
            prop_assert!(places >= 1 && places <= plan.client_connections);
            prop_assert!(places + more == plan.client_connections || places == 1);
        }
    }

    #[test]
    fn what_was_stated_so_far_comes_out_nearly_as_before() {
        let plan = DescriptorBudget::plan(256, Some(1024)).unwrap();
        assert_eq!((plan.searcher_connections, plan.client_connections), (92, 140));
        assert_eq!(DescriptorBudget::plan(256, Some(32)).unwrap().total(), 32);
        assert_eq!(DescriptorBudget::plan(64, None).unwrap().total(), 64);
    }
}
