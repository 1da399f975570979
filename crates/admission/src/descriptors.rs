//! What the descriptors are for. One sum: `fixed` + `told` + `links` + `clients` is no more than there are.

/// How many descriptors each use may hold at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    /// Standard streams, the poller's, signals', the listener, discovery (its connection and its successor),
    /// a file that is being read, the reserve that accepts and refuses when there is none left; and one spare.
    pub fixed: usize,
    /// Connections that hear a refusal.
    pub told: usize,
    pub links: usize,
    pub clients: usize,
}

/// Counted on a running mixer: 3 streams, 3 of the poller, 4 of signals, 1 listener, 2 for discovery, 1 file,
/// 1 reserve; and 1 spare, for what the standard library opens for a moment.
const FIXED: usize = 16;
/// With fewer there is hardly a place for anybody.
const LEAST: usize = 24;

impl Descriptors {
    /// Of what the orders tell and what the system allows the fewer: an operator may lower the one, the system's
    /// keeper the other. None where they are too few to serve.
    pub fn plan(stated: usize, allowed: Option<usize>) -> Option<Self> {
        let all = stated.min(allowed.unwrap_or(stated));
        // A thirty-second hears refusals: half a second each, past which the longest told goes.
        let told = (all / 32).clamp(2, 32);
        let rest = all.checked_sub(FIXED + told).filter(|_| all >= LEAST)?;
        // Searchers are few and clients many: two fifths for links, as each may need more than one.
        let links = (rest * 2 / 5).max(1);
        Some(Self { fixed: FIXED, told, links, clients: rest - links })
    }

    pub fn sum(&self) -> usize {
        self.fixed + self.told + self.links + self.clients
    }

    /// The clients' places while more links are held than are meant to be: one that closes takes its time, and
    /// its successor dials meanwhile. Those come before newcomers at the door.
    pub fn places_beside(&self, links_held: usize) -> usize {
        self.clients.saturating_sub(links_held.saturating_sub(self.links)).max(1)
    }
}

#[cfg(test)]
mod tests {
    use super::Descriptors;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

        #[test]
        fn the_sum_fits_whatever_there_is(stated in 0usize..200_000, allowed in proptest::option::of(0usize..200_000)) {
            let all = stated.min(allowed.unwrap_or(stated));
            match Descriptors::plan(stated, allowed) {
                None => prop_assert!(all < 24),
                Some(plan) => {
                    prop_assert_eq!(plan.sum(), all);
                    prop_assert!(plan.links >= 1 && plan.clients >= 2 && plan.told >= 2);
                }
            }
        }

        #[test]
        fn links_that_close_take_the_places_of_newcomers(all in 24usize..5000, more in 0usize..5000) {
            let plan = Descriptors::plan(all, None).unwrap();
            let places = plan.places_beside(plan.links + more);
            prop_assert!(places >= 1 && places <= plan.clients);
            prop_assert!(places + more == plan.clients || places == 1);
        }
    }

    #[test]
    fn what_was_stated_so_far_comes_out_nearly_as_before() {
        let plan = Descriptors::plan(256, Some(1024)).unwrap();
        assert_eq!((plan.links, plan.clients), (92, 140));
        assert_eq!(Descriptors::plan(256, Some(32)).unwrap().sum(), 32);
        assert_eq!(Descriptors::plan(64, None).unwrap().sum(), 64);
    }
}
